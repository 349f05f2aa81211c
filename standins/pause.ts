/**
 * Waits in real time, independently of any simulated clock.
 *
 * @param durationMs - duration, in milliseconds
 */
export const pause = (durationMs: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, durationMs));
