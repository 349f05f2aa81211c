/**
 * Holds up the whole process: no timer and no connection is served meanwhile.
 *
 * @param durationMs - duration, in milliseconds
 */
export const pauseProcess = (durationMs: number): void => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT)), 0, 0, durationMs);
};
