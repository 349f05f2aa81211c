import { type RetryRule, retryRules } from "../routes/types";

/** Properties of a request that determine its failover delay. */
export interface FailoverDelayInput {
    readonly retryRule: RetryRule;
    /** Latency target of the route, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Whether the route's limit of runs allows one more. */
    readonly mayRunAgain: boolean;
}

const repeatableTargetMultiple = 3; // the answer misses its target, but meets the deadline of most callers
const minRepeatableDelayMs = 300;
const resumableTargetMultiple = 2;
const minResumableDelayMs = 1_000;

/**
 * Computes how long to wait for the head of an answer before the request may fail over to another upstream. The delay
 * covers connections that stall without a reset and upstreams that stop without closing their connections.
 *
 * @param input - retry rule, latency target and whether another run is allowed
 * @returns delay in milliseconds, or undefined if the request must not fail over
 */
export const computeFailoverDelayMs = (input: FailoverDelayInput): number | undefined => {
    if (!input.mayRunAgain || input.retryRule === retryRules.once) {
        return undefined;
    }
    return input.retryRule === retryRules.repeatable
        ? Math.max(minRepeatableDelayMs, input.targetLatencyMs * repeatableTargetMultiple)
        : Math.max(minResumableDelayMs, input.targetLatencyMs * resumableTargetMultiple);
};
