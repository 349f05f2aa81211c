import type { Clock } from "../kernel/types";
import type { ForwardMetrics } from "../telemetry/ForwardMetrics";
import type { UsageLedger } from "../usage/UsageLedger";
import type { AdmittedRequest } from "./admitRequest";

/** Options of {@link ForwardRecorder}. */
export interface ForwardRecorderOptions {
    readonly context: {
        readonly clock: Clock;
        readonly metrics: ForwardMetrics;
        readonly usage: UsageLedger;
    };
    readonly admitted: AdmittedRequest;
    /** Monotonic time of the request's arrival, in milliseconds. */
    readonly arrivedMs: number;
}

/** What was done for a request, for its log line. */
export interface ForwardTrace {
    sends: number;
    /** Sendings after which the request may have run. */
    runs: number;
    /** Upstream that was chosen last. */
    upstream: string | undefined;
    /** Requests at that upstream when it was chosen. */
    upstreamLoad: number | undefined;
    firstByteMs: number | undefined;
    status: number | undefined;
}

/** Counts what is done for one request: for its log line, the metrics and its account's usage. */
export class ForwardRecorder {
    readonly trace: ForwardTrace = {
        sends: 0,
        runs: 0,
        upstream: undefined,
        upstreamLoad: undefined,
        firstByteMs: undefined,
        status: undefined,
    };
    private isUsageCounted = false;

    constructor(private readonly options: ForwardRecorderOptions) {}

    /** Counts a sending after which the request may have run. */
    recordRun(mayHaveRun: boolean): void {
        this.trace.runs += mayHaveRun ? 1 : 0;
    }

    /** Counts how a sending ended. */
    recordAttempt(outcome: string): void {
        const { context, admitted } = this.options;
        context.metrics.sends.inc({ service: admitted.service, outcome });
    }

    /** Counts the request for its account once, when it begins to run. */
    recordUsage(): void {
        const { context, admitted } = this.options;
        if (!this.isUsageCounted && admitted.account) {
            this.isUsageCounted = true;
            context.usage.recordRequest(admitted.account.name);
        }
    }

    /** Notes when the answer's first byte is passed on. */
    recordFirstByte(): void {
        const { context, arrivedMs } = this.options;
        this.trace.firstByteMs ??= context.clock.readMonotonicMs() - arrivedMs;
    }
}
