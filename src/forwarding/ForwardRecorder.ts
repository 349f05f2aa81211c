import type { Clock } from "../kernel/types";
import type { StreamOrigins } from "../origins/StreamOrigins";
import type { UpstreamInstance } from "../placement/types";
import { retryRules } from "../routes/types";
import { eventKinds } from "../telemetry/eventKinds";
import type { EventLog } from "../telemetry/EventLog";
import type { ForwardMetrics } from "../telemetry/ForwardMetrics";
import type { AnswerFraming } from "../upstreams/UpstreamExchange";
import type { UsageLedger } from "../usage/UsageLedger";
import type { AdmittedRequest } from "./admitRequest";
import type { RetryDecision } from "./decideRetry";
import { describeSharedParts } from "./describeSharedParts";
import type { FailedAttemptResult } from "./types";

/** Options of {@link ForwardRecorder}. */
export interface ForwardRecorderOptions {
    readonly context: {
        readonly clock: Clock;
        readonly events: EventLog;
        readonly metrics: ForwardMetrics;
        readonly usage: UsageLedger;
        readonly origins: Pick<StreamOrigins, "record">;
    };
    readonly admitted: AdmittedRequest;
    /** Monotonic time of the request's arrival, in milliseconds. */
    readonly arrivedMs: number;
}

/** What was done for a request. Logged as fields of its `request-forwarded` event. */
export interface ForwardTrace {
    /** Number of attempts. */
    sends: number;
    /** Number of attempts after which the request may have run. */
    runs: number;
    /** Id of the upstream chosen last. */
    upstream: string | undefined;
    /** Software version of that upstream. */
    softwareVersion: string | undefined;
    /** Requests in flight at that upstream when it was chosen. */
    upstreamLoad: number | undefined;
    firstByteMs: number | undefined;
    status: number | undefined;
    /** How the end of the last answer was marked. */
    framing: AnswerFraming | undefined;
    /** Bytes that followed the last complete event, if the last answer was a stream. */
    openEventBytes: number | undefined;
}

/** An attempt that failed, for its log line. */
export interface FailedAttemptReport {
    readonly upstream: UpstreamInstance;
    readonly result: FailedAttemptResult;
    readonly next: RetryDecision;
    /** Id of the last complete event that was relayed. */
    readonly lastEventId: number | undefined;
    /** What a repeat of the request under another id is recognised by. */
    readonly requestKey: string;
    /** Whether the upstream began an answer. */
    readonly hasBegun: boolean;
    /** Time until the request's deadline, in milliseconds. */
    readonly remainingMs: number;
}

/** Records what is done for one request: for its log line, the metrics and the usage of its account. */
export class ForwardRecorder {
    readonly trace: ForwardTrace = {
        sends: 0,
        runs: 0,
        upstream: undefined,
        softwareVersion: undefined,
        upstreamLoad: undefined,
        firstByteMs: undefined,
        status: undefined,
        framing: undefined,
        openEventBytes: undefined,
    };
    private isUsageCounted = false;

    constructor(private readonly options: ForwardRecorderOptions) {}

    /**
     * Counts an attempt as a run if the request may have run. The usage of the account counts a request for a stream from its
     * first event on, and any other one that may have run.
     */
    recordRun(mayHaveRun: boolean): void {
        this.trace.runs += mayHaveRun ? 1 : 0;
        if (mayHaveRun && !this.options.admitted.route.isStream) {
            this.recordUsage();
        }
    }

    /** Counts the outcome of an attempt in the metrics. */
    recordAttempt(outcome: string): void {
        const { context, admitted } = this.options;
        context.metrics.upstreamSends.inc({ service: admitted.service, outcome });
    }

    /** Writes the log line of an attempt that failed. */
    reportFailedAttempt({ upstream, result, next, remainingMs, ...report }: FailedAttemptReport): void {
        const { context, admitted } = this.options;
        context.events.emit(eventKinds.attemptEnded, {
            requestId: admitted.metadata.requestId,
            upstream: upstream.id,
            softwareVersion: upstream.softwareVersion,
            service: admitted.service,
            lastEventId: report.lastEventId,
            sharedParts: describeSharedParts(admitted.sharedParts),
            requestKey: report.requestKey,
            hasBegun: report.hasBegun,
            reason: result.message,
            isSent: result.isSent,
            isNotRun: result.isNotRun,
            sends: this.trace.sends,
            runs: this.trace.runs,
            framing: this.trace.framing,
            openEventBytes: this.trace.openEventBytes,
            remainingMs: Math.round(remainingMs),
            next,
        });
    }

    /**
     * Counts the end of an answer's body in the metrics, by how the end was marked.
     *
     * @param framing - how the end was marked
     * @param end - kind of end
     * @param openEventBytes - bytes that followed the last complete event; undefined for other answers than streams
     */
    recordAnswerEnd(framing: AnswerFraming | undefined, end: string, openEventBytes?: number): void {
        const { context, admitted } = this.options;
        this.trace.framing = framing;
        this.trace.openEventBytes = openEventBytes;
        context.metrics.answerEnds.inc({ service: admitted.service, framing, end });
    }

    /** Counts the request in the usage of its account; further calls have no effect. */
    recordUsage(): void {
        const { context, admitted } = this.options;
        if (!this.isUsageCounted && admitted.account) {
            this.isUsageCounted = true;
            context.usage.recordRequest(admitted.account.name);
        }
    }

    /**
     * Records what began the stream, so that its caller can take it up at any node. A further attempt records it for the
     * one that brought the first event.
     *
     * @param softwareVersion - version of the upstream that sends the stream
     */
    recordStream(softwareVersion: string | undefined): void {
        const { context, admitted } = this.options;
        const { route, service, metadata } = admitted;
        const requestId = metadata.resumedRequestId ?? metadata.requestId;
        if (
            route.retryRule !== retryRules.resumable || softwareVersion === undefined
            || requestId === undefined
        ) {
            return;
        }
        context.origins.record({ requestId, service, softwareVersion }, route.targets.length > 1);
    }

    /** Records the time until the first byte of the answer is relayed; further calls have no effect. */
    recordFirstByte(): void {
        const { context, arrivedMs } = this.options;
        this.trace.firstByteMs ??= context.clock.readMonotonicMs() - arrivedMs;
    }
}
