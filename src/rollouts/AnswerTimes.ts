const stepsPerDoubling = 2;
const minCount = 20; // answers, below which nothing is called slow
const quantile = 0.9;
const slowSteps = stepsPerDoubling; // twice as long as most answers of the other versions
const minSlowMs = 40; // callers do not notice less, however fast other answers are

/** Counts of answers by step of their duration; a step is a factor of 1.4. */
export type TimeCounts = ReadonlyMap<number, number>;

/**
 * Computes the step of a duration.
 *
 * @param durationMs - duration, in milliseconds
 * @returns a whole number, 0 up to 1 ms
 */
export const computeTimeStep = (durationMs: number): number =>
    Math.max(0, Math.ceil(stepsPerDoubling * Math.log2(Math.max(1, durationMs))));

/**
 * Computes the longest step of an answer that is not slow: twice as long as nine of ten answers of the other versions.
 *
 * @param counts - answers of the other versions
 * @returns infinite while there are too few answers to tell
 */
export const computeLongestStep = (counts: TimeCounts): number => {
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    if (total < minCount) {
        return Infinity;
    }
    let below = 0;
    for (const [step, count] of [...counts].sort((a, b) => a[0] - b[0])) {
        below += count;
        if (below >= total * quantile) {
            return Math.max(step + slowSteps, computeTimeStep(minSlowMs));
        }
    }
    return Infinity;
};
