/** CPU time and heap size of this process. */
export interface OwnUsage {
    readonly cpuMicroseconds: number;
    readonly heapBytes: number;
}

/** Reads CPU time, and the heap size after garbage collection (needs `--expose-gc`). */
export const readOwnUsage = (): OwnUsage => {
    globalThis.gc?.();
    globalThis.gc?.();
    const { user, system } = process.cpuUsage();
    const memory = process.memoryUsage();
    return { cpuMicroseconds: user + system, heapBytes: memory.heapUsed };
};

/**
 * Measures the elapsed time of one synchronous call, as the lowest mean of several rounds.
 *
 * @param rounds - number of rounds
 * @param calls - calls per round
 * @param run - call to measure; receives its index within the round
 * @returns microseconds per call
 */
export const measureCallMicroseconds = (
    rounds: number,
    calls: number,
    run: (index: number) => void,
): number => {
    let leastMicroseconds = Infinity;
    for (let round = 0; round < rounds; round += 1) {
        const startedMs = performance.now();
        for (let index = 0; index < calls; index += 1) {
            run(index);
        }
        leastMicroseconds = Math.min(leastMicroseconds, (performance.now() - startedMs) * 1_000 / calls);
    }
    return leastMicroseconds;
};

/**
 * Measures the heap that a value retains.
 *
 * @param create - creates the value
 * @returns bytes
 */
export const measureHeapBytes = (create: () => unknown): number => {
    const before = readOwnUsage().heapBytes;
    const held = [create()]; // keeps the value reachable until the heap has been read
    const bytes = readOwnUsage().heapBytes - before;
    return held.length > 0 ? bytes : 0;
};
