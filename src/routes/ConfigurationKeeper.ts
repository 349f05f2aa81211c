import { z } from "zod";
import type { FeedFollower } from "../feeds/FeedFollower";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { type BodyExchange, bodyReferenceSchema } from "../peers/BodyExchange";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import type { ServingState } from "./ServingState";
import { isServingConfiguration } from "./isServingConfiguration";
import type { OperatorRecord, ServingConfiguration } from "./types";

/** Options of {@link ConfigurationKeeper}. */
export interface ConfigurationKeeperOptions {
    readonly state: Pick<ServingState, "table" | "adopt">;
    readonly feed: Pick<FeedFollower<OperatorRecord>, "records">;
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    readonly bodies: Pick<BodyExchange, "offer" | "pull">;
    /** Whether this node is one of the few that tell the others. */
    readonly isTeller: () => boolean;
    readonly clock: Clock;
    readonly events: EventLog;
}

const topic: ReportTopic<ServingConfiguration> = {
    name: "newest-configuration",
    schema: z.object({ version: z.number() }).passthrough() as unknown as ReportTopic<
        ServingConfiguration
    >["schema"],
};
const noticeSchema = z.object({ version: z.number(), body: bodyReferenceSchema });
type VersionNotice = z.output<typeof noticeSchema>;
/** Tells of a configuration that is too large to be sent to all each time; members are asked for it. */
const noticeTopic: ReportTopic<VersionNotice> = { name: "newest-configuration-notice", schema: noticeSchema };
const repeatMs = 1_000;

/**
 * Keeps the newest configuration in force while a store that was restored from an older copy has an earlier one. Nodes
 * that know a higher version than the store tell the others, such as those that have just started, until the operator has
 * written it again.
 */
export class ConfigurationKeeper {
    private readonly scope: TaskScope;
    private isPulling = false;

    constructor(private readonly options: ConfigurationKeeperOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.options.reports.listen(topic, configuration => this.options.state.adopt(configuration));
        this.options.reports.listen(noticeTopic, (notice, fromNode) => void this.pull(notice, fromNode));
        this.scope.run("configuration-keeper", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(repeatMs, signal));
            const configuration = this.options.state.table.value?.configuration;
            if (configuration && this.isStoreBehind(configuration.version) && this.options.isTeller()) {
                this.announce(configuration);
            }
        }
    }

    private announce(configuration: ServingConfiguration): void {
        const { reports, bodies } = this.options;
        const body = bodies.offer(configuration);
        if (body) {
            reports.publish(noticeTopic, { version: configuration.version, body });
        }
        else {
            reports.publish(topic, configuration);
        }
    }

    private async pull({ version, body }: VersionNotice, fromNode: string): Promise<void> {
        const { state, bodies } = this.options;
        if (this.isPulling || version <= (state.table.value?.configuration.version ?? -Infinity)) {
            return;
        }
        this.isPulling = true;
        const configuration = topic.schema.safeParse(await bodies.pull(body, [fromNode]));
        this.isPulling = false;
        if (configuration.success) {
            state.adopt(configuration.data);
        }
    }

    private isStoreBehind(version: number): boolean {
        const stored = [...this.options.feed.records.value?.values() ?? []].filter(isServingConfiguration);
        return stored.every(configuration => configuration.version < version);
    }
}

/** Name of the configuration keeper service. */
export const configurationKeeperName = createServiceName<ConfigurationKeeper>("configuration-keeper");
