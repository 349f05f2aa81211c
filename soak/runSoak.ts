import { SeededRandom } from "../src/kernel/SeededRandom";
import type { RandomSource } from "../src/kernel/types";
import type { RunState } from "../src/results/types";
import { pause } from "../standins/pause";
import { FaultInjector } from "./FaultInjector";
import { SoakCaller } from "./SoakCaller";
import { SoakCluster } from "./SoakCluster";
import { SoakOperators } from "./SoakOperators";
import { SoakTally } from "./SoakTally";

/** Options of {@link runSoak}. */
export interface SoakOptions {
    readonly seed: number;
    readonly minutes: number;
    /** Number of callers; default 16. */
    readonly callers?: number;
    /** Number of nodes; default 4. */
    readonly nodes?: number;
}

const msPerMinute = 60_000;
const defaultCallers = 16;
const defaultNodes = 4;
const minHealthyNodes = 2;
const conflictIntervalMs = 2_500;
const revisionCheckIntervalMs = 500;
const faultIntervalMs = 500;
const settleDelayMs = 6_000; // between the last fault and the final checks
const startDelayMs = 3_000;

/**
 * Runs callers, operators and faults against nodes in child processes, and checks the system's guarantees during the
 * run and at its end.
 *
 * @param options - seed and duration
 * @returns counters and violations
 */
export const runSoak = async (options: SoakOptions): Promise<SoakTally> => {
    const random = new SeededRandom(options.seed);
    const tally = new SoakTally();
    const cluster = new SoakCluster(options.nodes ?? defaultNodes);
    const bookings = new Map<string, RunState | "answered">();
    await cluster.start();
    await pause(startDelayMs);
    const operators = new SoakOperators({ cluster, tally, random: createRandom(random) });
    await operators.applyInitialConfiguration();
    await pause(startDelayMs / 2);
    const faultInjector = new FaultInjector({
        cluster,
        tally,
        minHealthyNodes,
        random: createRandom(random),
    });
    const endMs = Date.now() + options.minutes * msPerMinute;
    const repeat = async (operation: () => Promise<void>, pauseMs: number): Promise<void> => {
        while (Date.now() < endMs) {
            await operation();
            await pause(pauseMs);
        }
    };
    const callers = Array.from(
        { length: options.callers ?? defaultCallers },
        (_, number) => new SoakCaller({ number, cluster, tally, bookings, random: createRandom(random) }),
    );
    await Promise.all([
        ...callers.map(caller => repeat(() => caller.runRandomStep(), 20)),
        repeat(() => faultInjector.injectFaults(), faultIntervalMs),
        repeat(() => operators.applyConflictingChanges(), conflictIntervalMs),
        repeat(() => operators.checkRevisions(), revisionCheckIntervalMs),
    ]);
    await pause(settleDelayMs);
    await operators.checkHistory();
    checkBookings(cluster, bookings, tally);
    cluster.brokenInvariants.forEach(line => tally.fail("assertions of the program", line));
    await cluster.stop();
    return tally;
};

/** Compares the outcomes reported to callers with the bookings that the plain runners executed. */
const checkBookings = (
    cluster: SoakCluster,
    bookings: ReadonlyMap<string, RunState | "answered">,
    tally: SoakTally,
): void => {
    const runs = new Map<string, number>();
    for (const run of cluster.standIns.runners.flatMap(runner => runner.plain?.runs ?? [])) {
        const key = run.idempotencyKey ?? "none";
        runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    tally.counts.set("runs per key at most", Math.max(0, ...runs.values()));
    for (const [key, count] of runs) {
        tally.check("at most once", count === 1, () => `${key} ran ${count} times`);
    }
    for (const [key, outcome] of bookings) {
        const count = runs.get(key) ?? 0;
        tally.check(
            "answered means run",
            outcome !== "answered" || count === 1,
            () => `${key} was answered and ran ${count} times`,
        );
        tally.check(
            "not run is true",
            outcome !== "not-run" || count === 0,
            () => `${key} was called not run and ran ${count} times`,
        );
    }
};

const createRandom = (random: RandomSource): RandomSource => new SeededRandom(random.drawInt(0x7fffffff));
