import { Kernel } from "../kernel/Kernel";
import { forwardServerName } from "../forwarding/ForwardServer";
import { membershipName } from "../membership/Membership";
import { nodeRecordsName } from "../membership/NodeRecords";
import { type Readiness, readinessName } from "../membership/Readiness";
import { servingStateName } from "../routes/ServingState";
import type { ServingSettings } from "../settings/servingSettingsSchema";
import { eventLogName } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { EventFields, EventKind } from "../telemetry/types";
import { createForwardContext } from "./createForwardContext";
import { registerForwardGauges } from "./registerForwardGauges";
import { registerServingServices } from "./registerServingServices";
import type { ServingNodeOptions } from "./servingTypes";

/** Settings that count as soon as they change. */
const liveSettings: readonly (keyof ServingSettings)[] = [
    "keyRevocationMs",
    "stopGraceMs",
    "entriesValidMs",
];
const drainPollMs = 50;
const endMarginMs = 400; // of the grace; closing and the last log lines take some of it
const refuseAfterShare = 3 / 8; // of the grace; a request begun later might not end within it
const quietMs = 1_000; // callers that were told this node's address go on connecting for a while

/** One node that forwards requests under a configuration kept by the platform, from start to a planned stop. */
export class ServingNode {
    readonly kernel = new Kernel();

    constructor(private readonly options: ServingNodeOptions) {
        registerServingServices(this.kernel, options);
    }

    get nodeId(): string {
        return this.options.settings.nodeId;
    }

    /** Which nodes can take requests; known after {@link start}. */
    get readiness(): Readiness {
        return this.kernel.find(readinessName);
    }

    /** Starts all services. Callers are refused as not run until it has resolved. */
    async start(): Promise<void> {
        await this.kernel.start();
        const server = this.kernel.find(forwardServerName);
        const state = this.kernel.find(servingStateName);
        state.table.onChange(table => server.applyLimits(table!.configuration.limits));
        if (state.table.value) {
            server.applyLimits(state.table.value.configuration.limits);
        }
        registerForwardGauges(this.kernel.find);
        server.setContext(createForwardContext(this.kernel.find, this.options));
        this.kernel.find(eventLogName).emit(eventKinds.nodeStarted, {
            callers: this.options.settings.callers,
            peers: this.options.settings.peers,
        });
    }

    /**
     * Takes over changed settings. Addresses and names count from the next start on.
     *
     * @param next - the checked settings
     */
    reload(next: ServingSettings): void {
        const { settings } = this.options;
        const changed = (Object.keys(next) as (keyof ServingSettings)[])
            .filter(name => JSON.stringify(next[name]) !== JSON.stringify(settings[name]));
        for (const name of liveSettings) {
            Object.assign(settings, { [name]: next[name] });
        }
        const waiting = changed.filter(name => !liveSettings.includes(name));
        this.emit(eventKinds.settingsReloaded, {
            changed: changed.join(","),
            fromNextStart: waiting.length > 0 ? waiting.join(",") : undefined,
        });
    }

    /** Logs an event that an adapter saw. */
    emit(kind: EventKind, fields: EventFields): void {
        if (this.kernel.isStarted(eventLogName)) {
            this.kernel.find(eventLogName).emit(kind, fields);
        }
    }

    /** Planned stop: tells callers to go elsewhere, lets every request end, then stops. */
    async stop(): Promise<void> {
        const { clock, settings } = this.options;
        const events = this.kernel.find(eventLogName);
        const server = this.kernel.find(forwardServerName);
        const startMs = clock.readMonotonicMs();
        events.emit(eventKinds.nodeStopping, { open: server.openExchanges });
        this.kernel.find(membershipName).announceLeaving();
        server.stopKeepAlive();
        void this.kernel.find(nodeRecordsName).removeOwnRecord();
        const endMs = startMs + settings.stopGraceMs - endMarginMs;
        const refuseMs = startMs + settings.stopGraceMs * refuseAfterShare;
        const leastMs = startMs + settings.entriesValidMs;
        while (clock.readMonotonicMs() < endMs) {
            await clock.sleep(drainPollMs);
            if (clock.readMonotonicMs() >= refuseMs) {
                server.refuseNewRequests();
            }
            if (clock.readMonotonicMs() >= leastMs && server.isIdleFor(quietMs)) {
                break;
            }
        }
        this.kernel.find(membershipName).announceGone();
        await server.stop(); // first, so that what is cut does not go on at another upstream
        await this.kernel.stop();
        await this.options.platform.close();
        events.emit(eventKinds.nodeStopped, { lastedMs: Math.round(clock.readMonotonicMs() - startMs) });
    }
}
