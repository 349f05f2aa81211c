/** Processor time and heap of this process. */
export interface OwnUsage {
    readonly cpuMicroseconds: number;
    readonly heapBytes: number;
}

/** Reads processor time, and the heap after a full collection (needs `--expose-gc`). */
export const readOwnUsage = (): OwnUsage => {
    globalThis.gc?.();
    globalThis.gc?.();
    const { user, system } = process.cpuUsage();
    const memory = process.memoryUsage();
    return { cpuMicroseconds: user + system, heapBytes: memory.heapUsed };
};

/**
 * Measures the processor time of one call, as the least mean of several rounds.
 *
 * @param rounds - number of rounds
 * @param calls - calls per round
 * @param run - the call
 * @returns microseconds per call
 */
export const measureCallMicroseconds = (
    rounds: number,
    calls: number,
    run: (index: number) => void,
): number => {
    let best = Infinity;
    for (let round = 0; round < rounds; round += 1) {
        const startedMs = performance.now();
        for (let index = 0; index < calls; index += 1) {
            run(index);
        }
        best = Math.min(best, (performance.now() - startedMs) * 1_000 / calls);
    }
    return best;
};

/**
 * Measures the heap that a value holds.
 *
 * @param create - makes the value
 * @returns bytes
 */
export const measureHeapBytes = (create: () => unknown): number => {
    const before = readOwnUsage().heapBytes;
    const held = [create()];
    const bytes = readOwnUsage().heapBytes - before;
    return held.length > 0 ? bytes : 0;
};
