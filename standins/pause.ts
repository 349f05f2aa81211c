/**
 * Waits for a while of real time.
 *
 * @param durationMs - how long, in milliseconds
 */
export const pause = (durationMs: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, durationMs));
