import { type RetryRule, retryRules } from "../routes/types";

/** What the patience with an upstream depends on. */
export interface FailoverDelayInput {
    readonly retryRule: RetryRule;
    /** Target of the route, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Whether the request may run once more. */
    readonly mayRunAgain: boolean;
}

const repeatableTargets = 3; // late for its target, but within the deadline of most callers
const leastRepeatableMs = 300;
const resumableTargets = 2;
const leastResumableMs = 1_000;

/**
 * Computes how long a request waits for the first sign of an answer before it may go to another upstream. Connections
 * can go silent without a reset, and an upstream can be lost without a word.
 *
 * @param input - the request's rule and target
 * @returns milliseconds, or undefined when it has to wait to its end
 */
export const computeFailoverDelayMs = (input: FailoverDelayInput): number | undefined => {
    if (!input.mayRunAgain || input.retryRule === retryRules.once) {
        return undefined;
    }
    return input.retryRule === retryRules.repeatable
        ? Math.max(leastRepeatableMs, input.targetLatencyMs * repeatableTargets)
        : Math.max(leastResumableMs, input.targetLatencyMs * resumableTargets);
};
