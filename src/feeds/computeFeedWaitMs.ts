/** Input of {@link computeFeedWaitMs}. */
export interface FeedWaitInput {
    /** Time within which a change must take effect, in milliseconds. */
    readonly maxPropagationMs: number;
    /** Time-out for the store's answer beyond the time that the call waits for changes, in milliseconds. */
    readonly answerTimeoutMs: number;
    /** Maximum time from the receipt of a change to its effect, such as a connection set-up, in milliseconds. */
    readonly applyMs: number;
}

const safetyShare = 0.8; // leaves time for the read that follows a lost call
const minWaitMs = 200;
const maxWaitMs = 5_000;

/**
 * Computes the maximum time that one call may wait for changes. With it, a change takes effect in time even if the
 * call's connection went silent, or the machine was suspended, just before the change.
 *
 * @param input - the propagation limit and the other delays
 * @returns milliseconds
 */
export const computeFeedWaitMs = ({ maxPropagationMs, answerTimeoutMs, applyMs }: FeedWaitInput): number =>
    Math.min(
        maxWaitMs,
        Math.max(minWaitMs, (maxPropagationMs - answerTimeoutMs - applyMs) * safetyShare),
    );
