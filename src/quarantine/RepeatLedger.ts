import { dropOldest } from "../_lib/dropOldest";
import type { CrashingRequest } from "./types";

/** One run of a request that ended with the crash of its upstream. */
export interface CrashedRun {
    /** Key of the upstream's start. */
    readonly upstream: string;
    /** Monotonic time, in milliseconds. */
    readonly beganMs: number;
    /** Monotonic time, in milliseconds. */
    readonly brokeMs: number;
}

const settleMs = 500; // an upstream that works on, or another repeat that goes well, shows within this time
const minCrashes = 3;
const suspectMs = 30_000;
const keptMs = 600_000;
const maxRequests = 2_048;
const maxRuns = 32; // of one request; more do not change what is concluded

/**
 * Finds requests that crash the upstreams that run them, from the runs that ended at each crash.
 *
 * A request counts as the cause if upstreams crashed under it one after the other, so that it was sent to each of them
 * only after the one before had crashed, and it was never answered since. Upstreams that crash at the same moment under
 * several repeats count as one, as they may have another cause in common.
 */
export class RepeatLedger {
    private readonly runs = new Map<string, CrashedRun[]>();

    /** Whether nothing is recorded. */
    isEmpty(): boolean {
        return this.runs.size === 0;
    }

    /**
     * Records a run that broke off.
     *
     * @param identity - equal for the request and its repeats
     * @param run - the run
     */
    record(identity: string, run: CrashedRun): void {
        const known = this.runs.get(identity) ?? [];
        this.runs.delete(identity);
        const others = known.filter(({ upstream }) => upstream !== run.upstream);
        this.runs.set(identity, [...others, run].slice(-maxRuns));
        dropOldest(this.runs, maxRequests);
    }

    /**
     * Records that a request, or a repeat of it, went well.
     *
     * @returns whether that says something new about earlier crashes
     */
    markSound(identity: string): boolean {
        return this.runs.delete(identity);
    }

    /**
     * Finds the request under which most upstreams crashed.
     *
     * @param nowMs - current monotonic time, in milliseconds
     * @param isKnown - whether a request is known to crash upstreams; crashes under it need no other explanation
     * @param isAlive - whether an upstream was seen at work after requests broke off there
     * @returns the request; undefined if none meets the conditions yet
     */
    findCrashingRequest(
        nowMs: number,
        isKnown: (identity: string) => boolean,
        isAlive: (upstream: string) => boolean,
    ): CrashingRequest | undefined {
        const explained = this.listExplained(isKnown);
        const counts = [...this.runs].filter(([identity]) => !isKnown(identity)).map(([identity, runs]) => ({
            identity,
            upstreams: countInSeries(
                runs.filter(({ upstream, brokeMs }) =>
                    nowMs - brokeMs >= settleMs && !isAlive(upstream) && !explained.has(upstream)
                ),
            ),
        }));
        const found = counts.filter(({ upstreams }) => upstreams >= minCrashes);
        return found.sort((a, b) => b.upstreams - a.upstreams).at(0);
    }

    /**
     * Lists the requests that may be the cause of several crashes.
     *
     * @param nowMs - current monotonic time, in milliseconds
     * @param isAlive - whether an upstream was seen at work after requests broke off there
     */
    listSuspects(nowMs: number, isAlive: (upstream: string) => boolean): string[] {
        const isSuspect = (runs: readonly CrashedRun[]): boolean =>
            countInSeries(
                runs.filter(({ upstream, brokeMs }) => nowMs - brokeMs <= suspectMs && !isAlive(upstream)),
            ) >= minCrashes;
        return [...this.runs].filter(([, runs]) => isSuspect(runs)).map(([identity]) => identity);
    }

    /** Drops old runs. */
    expire(nowMs: number): void {
        for (const [identity, runs] of this.runs) {
            if (nowMs - runs.at(-1)!.brokeMs > keptMs) {
                this.runs.delete(identity);
            }
        }
    }

    private listExplained(isKnown: (identity: string) => boolean): ReadonlySet<string> {
        const known = [...this.runs].filter(([identity]) => isKnown(identity));
        return new Set(known.flatMap(([, runs]) => runs.map(({ upstream }) => upstream)));
    }
}

/** Counts the runs of which each began only after the one before had broken off. */
const countInSeries = (runs: readonly CrashedRun[]): number => {
    let count = 0;
    let lastBrokeMs = -Infinity;
    for (const { beganMs, brokeMs } of [...runs].sort((a, b) => a.brokeMs - b.brokeMs)) {
        if (beganMs >= lastBrokeMs) {
            count += 1;
            lastBrokeMs = brokeMs;
        }
    }
    return count;
};
