import { type RetryRule, retryRules } from "../routes/types";

/** What is known after a sending failed. */
export interface FailedAttempt {
    /** Whether any byte of the request may have reached the upstream. */
    readonly isSent: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
}

/** What was done for the request so far, the failed sending included. */
export interface AttemptHistory {
    readonly retryRule: RetryRule;
    /** Sendings after which the request may have run. */
    readonly runs: number;
    readonly maxRuns: number;
    /** All sendings. */
    readonly sends: number;
    /** Takes a repeat out of the budget that all nodes share. */
    readonly takeRetry: () => boolean;
}

/** What follows a failed sending. */
export type RetryDecision = "another-upstream" | "stop";

const maxSends = 5; // a request that this many upstreams did not take meets a full or broken service

/**
 * Decides whether a request goes to another upstream after a sending failed. A request that may not be repeated goes on
 * only when it has certainly not run.
 *
 * @param failed - the failed sending
 * @param history - what was done before
 * @returns what follows
 */
export const decideRetry = (failed: FailedAttempt, history: AttemptHistory): RetryDecision => {
    if (history.sends >= maxSends) {
        return "stop";
    }
    if (!failed.isSent) {
        return "another-upstream"; // nothing arrived, so that no repeat is used up
    }
    if (!failed.isNotRun && (history.retryRule === retryRules.once || history.runs >= history.maxRuns)) {
        return "stop";
    }
    return history.takeRetry() ? "another-upstream" : "stop";
};
