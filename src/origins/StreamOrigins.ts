import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Membership } from "../membership/Membership";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { RecentStreams } from "./RecentStreams";
import { selectKeepers } from "./selectKeepers";
import type { SoftwareVersions } from "./SoftwareVersions";
import type { BegunStream, StreamOrigin } from "./types";

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
    readonly nodeId: string;
    readonly network: Pick<
        PeerNetwork,
        "linkedNodeIds" | "plan" | "sendReport" | "onReport" | "call" | "registerHandler"
    >;
    readonly membership: Pick<Membership, "listLive">;
    readonly versions: Pick<SoftwareVersions, "isMixed">;
    /** Time for which the origin of a stream is kept, in milliseconds. */
    readonly readKeptMs: () => number;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** Result of looking for the origin of a stream. */
export interface OriginSearch {
    /** Undefined if no node that answered knows it. */
    readonly origin: StreamOrigin | undefined;
    readonly source: "own" | "member" | "nobody";
    /** Number of nodes asked that did not answer in time. */
    readonly unanswered: number;
}

const topic = "stream-origins";
const findMethod = "find-stream-origin";
const shareIntervalMs = 200;
const maxKeepers = 7; // all others among 8 nodes, any number of which may be lost at once
const findTimeoutMs = 250;
const maxPerMessage = 1_000;
const maxDue = 20_000; // kept while no other node can be reached
const maxIdLength = 200; // bounds what callers' ids take

const originSchema = z.object({ service: z.string(), softwareVersion: z.string() });
const messageSchema = z.object({
    streams: z.array(originSchema.extend({ requestId: z.string().max(maxIdLength) })).max(maxPerMessage),
    isPassedOn: z.boolean(),
});
const questionSchema = z.object({ requestId: z.string(), isPassedOn: z.boolean() });
const answerSchema = originSchema.optional();

/**
 * Knows at which service and software version a stream began, by the id of the caller's attempt that brought its first
 * event. Streams of which this cannot be told from the listed versions are passed to a few other nodes, which keep them
 * when this node is lost. A node asks the aggregators for streams that it does not know.
 */
export class StreamOrigins {
    private readonly scope: TaskScope;
    private readonly recent = new RecentStreams();
    /** Streams of this node that no other node keeps, by service; passed on once the service is mixed. */
    private readonly unshared = new Map<string, RecentStreams>();
    /** Streams of this node to be passed on next. */
    private due: BegunStream[] = [];

    constructor(private readonly options: StreamOriginsOptions) {
        this.scope = createLoggedTaskScope(options.events);
        options.network.onReport(topic, (nodeId, payload) => this.receive(nodeId, payload));
        options.network.registerHandler(findMethod, payload => this.answerQuestion(payload));
    }

    async start(): Promise<void> {
        this.scope.run(topic, signal => this.runSharing(signal));
    }

    async stop(): Promise<void> {
        this.sendDue();
        await this.scope.cancel();
    }

    /**
     * Records that a stream has begun, or that it goes on.
     *
     * @param stream - the stream
     * @param isAmbiguous - whether its service may be another one than that of later attempts
     */
    record(stream: BegunStream, isAmbiguous: boolean): void {
        const { requestId, service, softwareVersion } = stream;
        if (requestId.length > maxIdLength) {
            return;
        }
        const origin = { service, softwareVersion };
        this.keep(requestId, origin);
        if (isAmbiguous) {
            this.due.push(stream);
            return;
        }
        const unshared = this.unshared.get(service) ?? new RecentStreams();
        this.unshared.set(service, unshared);
        unshared.add(requestId, origin, this.options.clock.readMonotonicMs(), this.options.readKeptMs());
    }

    /** Finds the origin of a stream, here or at another node; never rejects. */
    async find(requestId: string): Promise<OriginSearch> {
        const own = this.recent.find(requestId);
        if (own) {
            return { origin: own, source: "own", unanswered: 0 };
        }
        return this.requestOrigin(requestId, this.listAsked());
    }

    private listAsked(): string[] {
        const { network } = this.options;
        return network.linkedNodeIds.filter(nodeId => network.plan.aggregators.has(nodeId));
    }

    /** Asks nodes at the same time; settles with the first origin, or when all have answered. */
    private async requestOrigin(requestId: string, nodeIds: readonly string[]): Promise<OriginSearch> {
        const { network } = this.options;
        const question = { requestId, isPassedOn: network.plan.isAggregator };
        let unanswered = 0;
        const requestFrom = async (nodeId: string): Promise<StreamOrigin> => {
            const payload = await network.call(nodeId, findMethod, question, findTimeoutMs).catch(() => {
                unanswered += 1; // logged with the result of the search
            });
            const { data: origin } = answerSchema.safeParse(payload ?? undefined);
            return origin ?? Promise.reject(new Error("the stream is not known"));
        };
        const origin = await Promise.any(nodeIds.map(requestFrom)).catch(() => undefined);
        return { origin, source: origin ? "member" : "nobody", unanswered };
    }

    private async answerQuestion(payload: unknown): Promise<StreamOrigin | undefined> {
        const { requestId, isPassedOn } = questionSchema.parse(payload);
        const own = this.recent.find(requestId);
        if (own || isPassedOn) {
            return own;
        }
        return (await this.requestOrigin(requestId, this.listAsked())).origin;
    }

    private receive(nodeId: string, payload: unknown): void {
        const message = messageSchema.safeParse(payload);
        if (!message.success) {
            this.options.events.emit(eventKinds.peerRejected, {
                reason: "invalid stream origins",
                peer: nodeId,
            });
            return;
        }
        const { streams, isPassedOn } = message.data;
        for (const { requestId, service, softwareVersion } of streams) {
            this.keep(requestId, { service, softwareVersion });
        }
        if (!isPassedOn && this.options.network.plan.isAggregator) {
            this.send(streams, this.listKeepers().filter(keeper => keeper !== nodeId).slice(0, 1));
        }
    }

    private keep(requestId: string, origin: StreamOrigin): void {
        const { clock, readKeptMs } = this.options;
        this.recent.add(requestId, origin, clock.readMonotonicMs(), readKeptMs());
    }

    private *runSharing(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(shareIntervalMs, signal));
            this.sendDue();
        }
    }

    /** Passes the streams on that other nodes have to know. */
    private sendDue(): void {
        for (const [service, streams] of this.unshared) {
            if (this.options.versions.isMixed(service)) {
                this.due.push(...streams.takeAll());
            }
        }
        const keepers = this.due.length === 0 ? [] : this.listKeepers();
        if (keepers.length === 0) {
            this.due = this.due.slice(-maxDue);
            return;
        }
        for (let start = 0; start < this.due.length; start += maxPerMessage) {
            this.send(this.due.slice(start, start + maxPerMessage), keepers);
        }
        this.due = [];
    }

    private listKeepers(): string[] {
        const { nodeId, network, membership } = this.options;
        return selectKeepers({
            nodeId,
            plan: network.plan,
            linked: network.linkedNodeIds,
            dataCentres: new Map(membership.listLive().map(member => [member.nodeId, member.dataCentre])),
            count: maxKeepers,
        });
    }

    private send(streams: readonly BegunStream[], keepers: readonly string[]): void {
        const message = { streams, isPassedOn: this.options.network.plan.isAggregator };
        this.options.network.sendReport(keepers, topic, message);
    }
}

/** Name of the stream origins service. */
export const streamOriginsName = createServiceName<StreamOrigins>("stream-origins");
