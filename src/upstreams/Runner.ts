import type { Clock } from "../kernel/types";
import type { Vm } from "../platform/types";
import { LatencyModel } from "../routing/LatencyModel";
import type { EngineClient, LoadReport, PlainClient } from "./types";

const freshReportMs = 2_000;

/** One upstream VM: its client, what was reported of it and what this node did with it since. */
export class Runner {
    readonly latency = new LatencyModel();
    /** Requests that this node has running there. */
    inFlight = 0;
    /** Monotonic time since which the runner is leaving, in milliseconds. */
    leavingSinceMs: number | undefined;
    /** Wall-clock time at which the runner is taken, in milliseconds. */
    reclaimAtMs: number | undefined;
    private report: LoadReport | undefined;
    private reportedAtMs = -Infinity;
    private sentSinceReport = 0;
    private endedSinceReport = 0;

    constructor(
        public vm: Vm,
        readonly client: { readonly engine?: EngineClient; readonly plain?: PlainClient; },
        private readonly clock: Clock,
    ) {}

    get id(): string {
        return this.vm.id;
    }

    get isLeaving(): boolean {
        return this.leavingSinceMs !== undefined;
    }

    /** Running and waiting requests in the last report; 0 before the first. */
    get reportedLoad(): number {
        return this.report ? this.report.running + this.report.queued : 0;
    }

    /** Whether the runner reported lately that requests wait there, so that a late first token is no silence. */
    get hasRecentlyReportedQueue(): boolean {
        const ageMs = this.clock.readMonotonicMs() - this.reportedAtMs;
        return this.report !== undefined && this.report.queued > 0 && ageMs < freshReportMs;
    }

    /** Slots of the last report; 8 before the first. */
    get slots(): number {
        return this.report?.slots ?? 8;
    }

    /** Load by the last report, corrected by what this node sent and what ended since; never below its own. */
    get estimatedLoad(): number {
        const corrected = this.reportedLoad + this.sentSinceReport - this.endedSinceReport;
        return Math.max(corrected, this.inFlight);
    }

    /** Notes a request sent to the runner. */
    recordSent(): void {
        this.inFlight += 1;
        this.sentSinceReport += 1;
    }

    /** Notes that a request ended. */
    recordEnded(): void {
        this.inFlight -= 1;
        this.endedSinceReport += 1;
    }

    /** Takes in a load report. */
    adoptReport(report: LoadReport): void {
        this.report = report;
        this.reportedAtMs = this.clock.readMonotonicMs();
        this.sentSinceReport = 0;
        this.endedSinceReport = 0;
    }

    /** Notes that the runner is leaving. */
    markLeaving(takenAtMs: number | undefined): void {
        this.leavingSinceMs ??= this.clock.readMonotonicMs();
        this.reclaimAtMs = takenAtMs ?? this.reclaimAtMs;
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.client.engine?.close();
        await this.client.plain?.close();
    }
}
