/**
 * Waits until the event loop has delivered the input that had arrived before the call. A caller's close that arrived
 * together with its request is then known.
 */
export const waitForPendingInput = async (): Promise<void> => {
    await waitForImmediate(); // the end of the current iteration of the event loop
    await waitForImmediate(); // the end of the next one, which reads again from connections read before
};

const waitForImmediate = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
