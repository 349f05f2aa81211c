import type { RunnerRun } from "./RunnerStandIn";
import type { SlowCallOutcome } from "./sendSlowly";

/** Input of {@link listStopBreaches}. */
export interface ListStopBreachesOptions {
    readonly outcomes: readonly SlowCallOutcome[];
    /** Runs of all upstreams. */
    readonly runs: readonly Pick<RunnerRun, "requestId" | "atMs">[];
    /** Time for which an upstream works on each run, in milliseconds. */
    readonly workMs: number;
    /** Monotonic time at which the node was told to stop, in milliseconds. */
    readonly stopAtMs: number;
    readonly graceMs: number;
}

const maxExcusedMs = 3_000; // after the request to stop, of the last byte of a request that may be cut
const excusedShare = 3 / 8; // of grace periods that are shorter than those of deployments
const lastShare = 1 / 6; // of the grace period, in which upstreams that still work may be left
const unreadMs = 200; // a request that crosses the close of its connection

/**
 * Lists the requests that a planned stop broke: passed on and left without an answer, read and left without one, or refused as
 * not run though they ran.
 *
 * @param options - what callers and upstreams saw
 * @returns a line for each
 */
export const listStopBreaches = (options: ListStopBreachesOptions): string[] => {
    const { outcomes, runs, workMs, stopAtMs, graceMs } = options;
    const excusedUntilMs = stopAtMs + Math.min(maxExcusedMs, graceMs * excusedShare);
    const lastFromMs = stopAtMs + graceMs * (1 - lastShare);
    const broken: string[] = [];
    for (const { requestId, isConnected, lastByteAtMs, endedAtMs, status, isWhole } of outcomes) {
        const sentMs = Math.round((lastByteAtMs ?? endedAtMs) - stopAtMs);
        const ownRuns = runs.filter(run => run.requestId === requestId);
        const isAtWork = ownRuns.some(({ atMs }) => atMs + workMs >= lastFromMs);
        const isExcused = lastByteAtMs !== undefined && lastByteAtMs <= excusedUntilMs && isAtWork;
        if (ownRuns.length > 0 && !isWhole && !isExcused) {
            broken.push(`${requestId}, sent ${sentMs} ms after the stop, was passed on and cut`);
        }
        const isRead = isConnected && lastByteAtMs !== undefined && endedAtMs - lastByteAtMs > unreadMs;
        if (ownRuns.length === 0 && !isWhole && isRead) {
            broken.push(`${requestId}, sent ${sentMs} ms after the stop, was read and not answered`);
        }
        if (ownRuns.length > 0 && isWhole && (status === 503 || status === 429)) {
            broken.push(`${requestId}, sent ${sentMs} ms after the stop, ran and was refused as not run`);
        }
    }
    return broken;
};
