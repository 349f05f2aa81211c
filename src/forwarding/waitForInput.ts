import { waitWithTimeout, type WaitWithTimeoutOptions } from "../kernel/waitWithTimeout";
import { waitForPendingInput } from "../_lib/waitForPendingInput";

/**
 * Waits for the first of several promises that input of connections settles, up to a time limit. Input that had arrived at
 * the end of that time is read first: timers run before it where the process was held up.
 *
 * @param options - the promises and the time limit
 * @returns the value of the first promise to settle; undefined on a time-out
 */
export const waitForInput = async <T>(options: WaitWithTimeoutOptions<T>): Promise<T | undefined> => {
    const value = await waitWithTimeout(options);
    return value ?? Promise.race([...options.promises, waitForPendingInput().then(() => undefined)]);
};
