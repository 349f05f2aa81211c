/** What the longest wait of one call for changes follows from. */
export interface FeedWaitInput {
    /** Time within which a change must have had its effect, in milliseconds. */
    readonly maxPropagationMs: number;
    /** Longest wait for an answer of the store beyond the call's own wait, in milliseconds. */
    readonly answerTimeoutMs: number;
    /** Longest time from a decision to its effect, such as a new connection, in milliseconds. */
    readonly applyMs: number;
}

const safetyShare = 0.8; // the rest is for the read that follows a lost wait
const leastWaitMs = 200;
const longestWaitMs = 5_000;

/**
 * Computes how long one call may wait for changes, so that a change is seen in time even if the call's connection went
 * silent, or the machine stood still, right before the change.
 *
 * @param input - the bound and what else takes time
 * @returns milliseconds
 */
export const computeFeedWaitMs = ({ maxPropagationMs, answerTimeoutMs, applyMs }: FeedWaitInput): number =>
    Math.min(
        longestWaitMs,
        Math.max(leastWaitMs, (maxPropagationMs - answerTimeoutMs - applyMs) * safetyShare),
    );
