import { abortReason } from "../_lib/abortReason";
import type { Clock } from "./types";

/** Options of {@link waitWithTimeout}. */
export interface WaitWithTimeoutOptions<T> {
    readonly clock: Clock;
    /** What is waited for; the first to settle counts. */
    readonly promises: readonly Promise<T>[];
    /** Longest wait, in milliseconds. */
    readonly timeoutMs: number;
}

/**
 * Waits for the first of several promises, but only for a time. The timer ends with the wait.
 *
 * @param options - the promises and the time
 * @returns the first settled value; undefined when the time was over first
 * @throws whatever the first settled promise rejects with
 * @example
 * const answer = await waitWithin({ clock, pending: [exchange.ended], waitMs: 500 });
 */
export const waitWithTimeout = async <T>(options: WaitWithTimeoutOptions<T>): Promise<T | undefined> => {
    const timer = new AbortController();
    const timeout = options.clock.sleep(options.timeoutMs, timer.signal).then(() => undefined);
    try {
        return await Promise.race([...options.promises, timeout]);
    }
    finally {
        timer.abort(abortReason);
    }
};
