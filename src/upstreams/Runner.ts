import type { Clock } from "../kernel/types";
import type { Vm } from "../platform/types";
import { LatencyModel } from "../routing/LatencyModel";
import type { EngineClient, LoadReport, PlainClient } from "./types";

const recentReportMs = 2_000;

/** One upstream VM: its client, its last load report and this node's requests there since that report. */
export class Runner {
    readonly latency = new LatencyModel();
    /** Number of this node's requests in progress at the runner. */
    inFlight = 0;
    /** Monotonic time at which the runner was first seen leaving, in milliseconds; undefined while it is not. */
    leavingSinceMs: number | undefined;
    /** Wall-clock time at which the VM will be reclaimed, in milliseconds; undefined if no notice was read. */
    reclaimAtMs: number | undefined;
    private lastReport: LoadReport | undefined;
    private lastReportAtMs = -Infinity;
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

    /** Running and queued requests in the last report; 0 before the first. */
    get reportedLoad(): number {
        return this.lastReport ? this.lastReport.running + this.lastReport.queued : 0;
    }

    /** Whether a recent report shows queued requests. A late first token is then no sign of a failed runner. */
    get hasRecentlyReportedQueue(): boolean {
        const ageMs = this.clock.readMonotonicMs() - this.lastReportAtMs;
        return this.lastReport !== undefined && this.lastReport.queued > 0 && ageMs < recentReportMs;
    }

    /** Slots in the last report; 8 before the first. */
    get slots(): number {
        return this.lastReport?.slots ?? 8;
    }

    /** Load in the last report, adjusted by this node's requests sent and ended since; at least {@link inFlight}. */
    get estimatedLoad(): number {
        const corrected = this.reportedLoad + this.sentSinceReport - this.endedSinceReport;
        return Math.max(corrected, this.inFlight);
    }

    /** Records that a request was sent to the runner. */
    recordSent(): void {
        this.inFlight += 1;
        this.sentSinceReport += 1;
    }

    /** Records that a request to the runner ended. */
    recordEnded(): void {
        this.inFlight -= 1;
        this.endedSinceReport += 1;
    }

    /** Records a load report. */
    recordReport(report: LoadReport): void {
        this.lastReport = report;
        this.lastReportAtMs = this.clock.readMonotonicMs();
        this.sentSinceReport = 0;
        this.endedSinceReport = 0;
    }

    /**
     * Marks the runner as leaving.
     *
     * @param reclaimAtMs - wall-clock time of the reclaim, in milliseconds, if known; undefined keeps an earlier one
     */
    markLeaving(reclaimAtMs: number | undefined): void {
        this.leavingSinceMs ??= this.clock.readMonotonicMs();
        this.reclaimAtMs = reclaimAtMs ?? this.reclaimAtMs;
    }

    /** Closes the connections. */
    async close(): Promise<void> {
        await this.client.engine?.close();
        await this.client.plain?.close();
    }
}
