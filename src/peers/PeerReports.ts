import type { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeReportIntervalMs } from "./computeReportIntervalMs";
import type { PeerNetwork } from "./PeerNetwork";

/** Options of {@link PeerReports}. */
export interface PeerReportsOptions {
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** A kind of value that nodes report to each other. */
export interface ReportTopic<T> {
    readonly name: string;
    readonly schema: z.ZodType<T, z.ZodTypeDef, unknown>;
}

/** The latest report of a member on a topic. */
export interface PeerReport<T> {
    readonly nodeId: string;
    readonly value: T;
    /** Monotonic time at which it arrived, in milliseconds. */
    readonly atMs: number;
}

const freshIntervals = 8; // a report is stale when the next eight have been lost

/** Periodic reports between linked nodes, such as load and quota use. */
export class PeerReports {
    private readonly publishers = new Map<string, () => unknown>();
    private readonly received = new Map<string, Map<string, PeerReport<unknown>>>();
    private readonly scope: TaskScope;

    constructor(private readonly options: PeerReportsOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("peer-reports", signal => this.publishAll(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Starts to report this node's value to the linked members periodically, and to collect their reports.
     *
     * @param topic - name and schema of the value
     * @param read - reads this node's current value
     * @param onReceived - called for each valid report of a member
     */
    exchange<T>(
        topic: ReportTopic<T>,
        read: () => T,
        onReceived: (nodeId: string, value: T) => void = () => {},
    ): void {
        this.publishers.set(topic.name, read);
        const reports = new Map<string, PeerReport<unknown>>();
        this.received.set(topic.name, reports);
        this.listen(topic, (nodeId, value) => {
            reports.set(nodeId, { nodeId, value, atMs: this.options.clock.readMonotonicMs() });
            onReceived(nodeId, value);
        });
    }

    /**
     * Sends one report to the linked members now.
     *
     * @param topic - name and schema of the value
     * @param value - the value
     */
    publish<T>(topic: ReportTopic<T>, value: T): void {
        this.options.network.sendReport(topic.name, value);
    }

    /**
     * Registers the listener for the members' reports on a topic; replaces an earlier one.
     *
     * @param topic - name and schema of the value
     * @param onReceived - called for each valid report of a member
     */
    listen<T>(topic: ReportTopic<T>, onReceived: (nodeId: string, value: T) => void): void {
        this.options.network.onReport(topic.name, (nodeId, payload) => {
            const parsed = topic.schema.safeParse(payload);
            if (!parsed.success) {
                this.options.events.emit(eventKinds.peerRejected, { reason: "invalid report", peer: nodeId });
                return;
            }
            onReceived(nodeId, parsed.data);
        });
    }

    /** Lists the members' latest reports on a topic, stale ones included. */
    listAll<T>(topic: ReportTopic<T>): readonly PeerReport<T>[] {
        return [...this.received.get(topic.name)?.values() ?? []] as PeerReport<T>[];
    }

    /** Lists the members' latest reports on a topic, without stale ones. */
    listFresh<T>(topic: ReportTopic<T>): readonly PeerReport<T>[] {
        const oldestMs = this.options.clock.readMonotonicMs() - this.readIntervalMs() * freshIntervals;
        return this.listAll(topic).filter(report => report.atMs >= oldestMs);
    }

    private readIntervalMs(): number {
        return computeReportIntervalMs(this.options.network.linkedNodeIds.length);
    }

    private *publishAll(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.readIntervalMs(), signal));
            for (const [topic, read] of this.publishers) {
                this.options.network.sendReport(topic, read());
            }
        }
    }
}

/** Name of the peer reports service. */
export const peerReportsName = createServiceName<PeerReports>("peer-reports");
