/**
 * Resolves when a signal aborts.
 *
 * @param signal - the signal; may already be aborted
 */
export const waitForAbort = (signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
