import type { TrackedInstance } from "../placement/createTrackedInstance";
import { retryRules } from "../routes/types";
import type { AdmittedRequest } from "./admitRequest";
import { computeIdleTimeoutMs, minIdleTimeoutMs } from "./computeIdleTimeoutMs";
import type { CrashWatch } from "./CrashWatch";
import { type AttemptHistory, decideRetry, type RetryDecision } from "./decideRetry";
import type { DispatchCheck } from "./DispatchCheck";
import type { ForwardContext } from "./ForwardContext";
import type { ForwardRecorder } from "./ForwardRecorder";
import type { StreamBinding } from "./StreamBinding";
import type { FailedAttemptResult } from "./types";
import type { UpstreamSelection } from "./UpstreamSelection";

/** Options of {@link RetryPlanner}. */
export interface RetryPlannerOptions {
    readonly context: Pick<ForwardContext, "clock" | "instances" | "retryBudgets">;
    readonly admitted: Pick<AdmittedRequest, "route" | "service">;
    readonly recorder: Pick<ForwardRecorder, "trace">;
    readonly selection: Pick<UpstreamSelection, "hasOther" | "hasRoomElsewhere">;
    readonly binding: Pick<StreamBinding, "isBound">;
    readonly crashWatch: Pick<CrashWatch, "readQuarantinedMs">;
    readonly dispatchCheck: Pick<DispatchCheck, "isAllowedByStop">;
    /** Time until the request's deadline, in milliseconds. */
    readonly readRemainingMs: () => number;
}

/** Remaining time of a request below which it is not sent again, in milliseconds; no upstream answers faster. */
export const minRemainingMs = 10;

/** Decides whether one request may be sent again, after a failed attempt or while its upstream is silent. */
export class RetryPlanner {
    /** Whether the stream was left since its upstream sent no events, though it might have gone on. */
    private hasLeftIdle = false;

    constructor(private readonly options: RetryPlannerOptions) {}

    /**
     * Decides what follows a failed attempt, and takes the retry that this needs.
     *
     * @param result - the failed attempt
     * @param upstream - its upstream
     */
    decideNext(result: FailedAttemptResult, upstream: TrackedInstance): RetryDecision {
        this.hasLeftIdle ||= result.isIdle === true;
        if (!this.options.dispatchCheck.isAllowedByStop()) {
            return "stop";
        }
        const { runs } = this.options.recorder.trace;
        return decideRetry(result, this.createHistory(runs, () => this.takeRetry(result, upstream)));
    }

    /**
     * Takes one retry from the budget after a failed attempt. A silent upstream may not have read the attempt until it
     * answers a later one.
     *
     * @param result - the failed attempt
     * @param upstream - its upstream
     * @returns false if none is left
     */
    takeRetry(result: FailedAttemptResult, upstream: TrackedInstance): boolean {
        const givenUpMs = this.options.context.clock.readMonotonicMs();
        const hasArrived = (): boolean => upstream.answeredSentMs >= givenUpMs;
        return this.getBudget().takeRetry(result.isSilent ? { hasArrived } : undefined);
    }

    /**
     * Whether an upstream that has not answered yet may be left for another one. An engine that streams to other requests
     * is busy rather than silent, so requests that are not repeatable fail over only if no byte has arrived from it since
     * the call was sent.
     *
     * @param upstream - upstream that has not answered
     * @param sentMs - monotonic time at which the request was sent, in milliseconds
     */
    isFailoverAllowed(upstream: TrackedInstance, sentMs: number): boolean {
        const { admitted, recorder, selection } = this.options;
        const isSilent = admitted.route.retryRule === retryRules.repeatable
            || upstream.lastReceivedMs < sentMs;
        const runs = recorder.trace.runs + 1; // this one has not been recorded yet
        return isSilent && this.hasRetry(runs) && selection.hasOther(upstream);
    }

    /**
     * Whether a stream whose upstream has sent no event for a time may go on at another upstream now.
     *
     * @param upstream - upstream that is silent
     * @param idleMs - time since the last event, in milliseconds
     */
    isResumableElsewhere(upstream: TrackedInstance, idleMs: number): boolean {
        const { admitted, recorder, selection } = this.options;
        const { targetLatencyMs, eventGapTargetMs = 0 } = admitted.route;
        const remainingMs = this.options.readRemainingMs() + idleMs;
        return idleMs >= computeIdleTimeoutMs({ targetLatencyMs, eventGapTargetMs, remainingMs })
            && this.hasRetry(recorder.trace.runs)
            && (selection.hasRoomElsewhere(upstream) || this.hasOtherPath(upstream, idleMs));
    }

    /** Whether a silent upstream has answered other requests through another member meanwhile. */
    private hasOtherPath({ client, lastReceivedMs }: TrackedInstance, idleMs: number): boolean {
        const sinceReceivedMs = this.options.context.clock.readMonotonicMs() - lastReceivedMs;
        return client.isRelayed && sinceReceivedMs < idleMs - minIdleTimeoutMs / 2;
    }

    /**
     * Whether a request whose upstream is silent may be sent to another one now, so that it is not given up for nothing.
     *
     * @param runs - number of attempts after which the request may have run, the current one included
     */
    private hasRetry(runs: number): boolean {
        const { context, binding, crashWatch, dispatchCheck } = this.options;
        const history = this.createHistory(runs, () => this.getBudget().hasRetry());
        return decideRetry({ isSent: true, isNotRun: false }, history) === "another-upstream"
            && this.options.readRemainingMs() >= minRemainingMs
            && dispatchCheck.isAllowedByStop()
            && crashWatch.readQuarantinedMs() === undefined
            && (!binding.isBound || context.instances.isListingCurrent());
    }

    private createHistory(runs: number, takeRetry: () => boolean): AttemptHistory {
        const { admitted, recorder } = this.options;
        const { retryRule, maxRuns } = admitted.route;
        const { sends } = recorder.trace;
        return { retryRule, runs, maxRuns, sends, takeRetry, mayWait: this.hasLeftIdle };
    }

    private getBudget(): ReturnType<ForwardContext["retryBudgets"]["get"]> {
        return this.options.context.retryBudgets.get(this.options.admitted.service);
    }
}
