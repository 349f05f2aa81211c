import { type RetryRule, retryRules } from "../routes/types";

/** What is known about a failed attempt. */
export interface FailedAttempt {
    /** Whether any byte of the request may have reached the upstream. */
    readonly isSent: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
}

/** Attempts made for a request so far, including the failed one. */
export interface AttemptHistory {
    readonly retryRule: RetryRule;
    /** Number of attempts after which the request may have run. */
    readonly runs: number;
    readonly maxRuns: number;
    /** Number of all attempts. */
    readonly sends: number;
    /** Takes one retry from this node's part of the service's retry budget; false if none is left. */
    readonly takeRetry: () => boolean;
    /** Whether the request waits for a retry if none is left. */
    readonly mayWait: boolean;
}

/** What follows a failed attempt. */
export type RetryDecision = "another-upstream" | "wait-for-retry" | "stop";

const maxAttempts = 5; // if this many upstreams did not take a request, the service is full or broken

/**
 * Decides whether a request is retried on another upstream after a failed attempt. A request that may run only once is
 * retried only if it has certainly not run.
 *
 * @param failed - the failed attempt
 * @param history - all attempts so far
 * @returns whether to retry now, to retry once the budget allows it, or to stop
 */
export const decideRetry = (failed: FailedAttempt, history: AttemptHistory): RetryDecision => {
    if (history.sends >= maxAttempts) {
        return "stop";
    }
    if (!failed.isSent) {
        return "another-upstream"; // nothing reached the upstream, so the retry does not count against the budget
    }
    if (!failed.isNotRun && (history.retryRule === retryRules.once || history.runs >= history.maxRuns)) {
        return "stop";
    }
    if (history.takeRetry()) {
        return "another-upstream";
    }
    return history.mayWait ? "wait-for-retry" : "stop";
};
