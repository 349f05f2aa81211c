import { computeTimeStep } from "./AnswerTimes";
import type { AnswerQuality } from "./RolloutCounters";

/** How an attempt ended, as far as it tells something about the upstream's version. */
export interface AttemptOutcome {
    /**
     * `answered`, `failed` after the request may have run, `unsent` if it has not run, or `interrupted` by the caller or the
     * deadline.
     */
    readonly kind: "answered" | "failed" | "unsent" | "interrupted";
    /** Status of the answer; undefined before its head. */
    readonly status: number | undefined;
    /** Time until the whole answer, or the first event of a stream; until now if there was none, in milliseconds. */
    readonly startMs: number;
    /** Mean time between events; undefined for other answers than streams with several events. */
    readonly gapMs: number | undefined;
}

/** Longest steps of answers that are not slow. */
export interface LongestSteps {
    readonly start: number;
    readonly gap: number;
}

const firstErrorStatus = 400;

/**
 * Classifies an attempt as evidence on its upstream's version. A refusal says something about the load, and an attempt
 * that was given up in time nothing.
 *
 * @param outcome - how the attempt ended
 * @param longest - longest steps of answers that are not slow
 * @returns undefined if it is no evidence
 */
export const classifyAttempt = (
    outcome: AttemptOutcome,
    longest: LongestSteps,
): AnswerQuality | undefined => {
    const { kind, status, startMs, gapMs } = outcome;
    if (kind === "unsent") {
        return undefined;
    }
    const isSlow = computeTimeStep(startMs) > longest.start
        || (gapMs !== undefined && computeTimeStep(gapMs) > longest.gap);
    if (kind === "failed" || isSlow || (status !== undefined && status >= firstErrorStatus)) {
        return "bad";
    }
    return kind === "answered" ? "good" : undefined;
};
