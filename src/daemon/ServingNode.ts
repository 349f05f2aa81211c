import { Kernel } from "../kernel/Kernel";
import { forwardServerName } from "../forwarding/ForwardServer";
import { membershipName } from "../membership/Membership";
import { nodeRecordsName } from "../membership/NodeRecords";
import { type Readiness, readinessName } from "../membership/Readiness";
import { servingStateName } from "../routes/ServingState";
import type { ServingSettings } from "../settings/servingSettingsSchema";
import { plannedStopName } from "../stopping/PlannedStop";
import { eventLogName } from "../telemetry/EventLog";
import { tunnelServerName } from "../tunnels/TunnelServer";
import { eventKinds } from "../telemetry/eventKinds";
import type { EventFields, EventKind } from "../telemetry/types";
import { createForwardContext } from "./createForwardContext";
import { registerForwardGauges } from "./registerForwardGauges";
import { registerRolloutGauges } from "./registerRolloutGauges";
import { registerServingServices } from "./registerServingServices";
import type { ServingNodeOptions } from "./servingTypes";

/** Settings that take effect without a restart. */
const reloadableSettings: readonly (keyof ServingSettings)[] = [
    "keyRevocationMs",
    "stopGraceMs",
    "entriesValidMs",
];
const tunnelIdleMs = 1_000; // an answer that a member waits for takes longer only where nothing else is under way
const drainPollMs = 50;
const idleBeforeStopMs = 1_000; // callers that were given this node's address keep connecting for a while

/**
 * A node that forwards requests according to a configuration kept by the platform: creates its services and runs them
 * until a graceful shutdown.
 */
export class ServingNode {
    readonly kernel = new Kernel();

    constructor(private readonly options: ServingNodeOptions) {
        registerServingServices(this.kernel, options);
    }

    get nodeId(): string {
        return this.options.settings.nodeId;
    }

    /** Readiness of the nodes; available after {@link start}. */
    get readiness(): Readiness {
        return this.kernel.find(readinessName);
    }

    /** Starts all services. Until the promise has resolved, requests are refused with run state `not-run`. */
    async start(): Promise<void> {
        await this.kernel.start();
        const server = this.kernel.find(forwardServerName);
        const state = this.kernel.find(servingStateName);
        state.table.onChange(table => server.applyLimits(table!.configuration.limits));
        if (state.table.value) {
            server.applyLimits(state.table.value.configuration.limits);
        }
        registerForwardGauges(this.kernel.find);
        registerRolloutGauges(this.kernel.find);
        server.setContext(createForwardContext(this.kernel.find, this.options));
        this.kernel.find(eventLogName).emit(eventKinds.nodeStarted, {
            callers: this.options.settings.callers,
            peers: this.options.settings.peers,
        });
    }

    /**
     * Applies changed settings. Those that are not reloadable, such as addresses, take effect at the next start.
     *
     * @param next - the validated settings
     */
    reload(next: ServingSettings): void {
        const { settings } = this.options;
        const changed = (Object.keys(next) as (keyof ServingSettings)[])
            .filter(name => JSON.stringify(next[name]) !== JSON.stringify(settings[name]));
        for (const name of reloadableSettings) {
            Object.assign(settings, { [name]: next[name] });
        }
        const fromNextStart = changed.filter(name => !reloadableSettings.includes(name));
        this.emit(eventKinds.settingsReloaded, {
            changed: changed.join(","),
            fromNextStart: fromNextStart.length > 0 ? fromNextStart.join(",") : undefined,
        });
    }

    /** Logs an event of an adapter; drops it while the event log is not started. */
    emit(kind: EventKind, fields: EventFields): void {
        if (this.kernel.isStarted(eventLogName)) {
            this.kernel.find(eventLogName).emit(kind, fields);
        }
    }

    /**
     * Shuts down gracefully within `stopGraceMs`: directs callers to other nodes, waits for the requests in progress,
     * refuses those that might not end in time, answers what is left, and stops.
     */
    async stop(): Promise<void> {
        const { clock, settings } = this.options;
        const events = this.kernel.find(eventLogName);
        const server = this.kernel.find(forwardServerName);
        const startMs = clock.readMonotonicMs();
        const { closeMs, lateMs } = this.kernel.find(plannedStopName).begin(settings.stopGraceMs);
        events.emit(eventKinds.nodeStopping, { open: server.openExchanges, lateMs: Math.round(lateMs) });
        this.kernel.find(membershipName).announceLeaving();
        server.stopKeepAlive();
        const tunnels = this.kernel.find(tunnelServerName);
        tunnels.refuseNewTunnels();
        void this.kernel.find(nodeRecordsName).removeOwnRecord();
        const entriesInvalidMs = startMs + settings.entriesValidMs;
        while (clock.readMonotonicMs() < closeMs) {
            await clock.sleep(drainPollMs);
            const isIdle = server.isIdleFor(idleBeforeStopMs) && tunnels.isIdleFor(tunnelIdleMs);
            if (clock.readMonotonicMs() >= entriesInvalidMs && isIdle) {
                break;
            }
        }
        this.kernel.find(membershipName).announceGone();
        const cut = server.openExchanges;
        await server.stop(); // first; otherwise the requests that it cuts would be retried at other upstreams
        await this.kernel.stop();
        await this.options.platform.close();
        const lastedMs = Math.round(clock.readMonotonicMs() - startMs);
        events.emit(eventKinds.nodeStopped, { lastedMs, cut });
    }
}
