import { abortReason } from "../_lib/abortReason";
import type { Clock } from "./types";

/** Options of {@link waitWithTimeout}. */
export interface WaitWithTimeoutOptions<T> {
    readonly clock: Clock;
    /** The promises to race. */
    readonly promises: readonly Promise<T>[];
    /** Time limit, in milliseconds. */
    readonly timeoutMs: number;
}

/**
 * Waits for the first of several promises to settle, up to a time limit. The timer is cancelled when the wait ends.
 *
 * @param options - the promises and the time limit
 * @returns the value of the first promise to settle; undefined on a time-out
 * @throws the error of the first promise to settle, if it rejects
 * @example
 * const answer = await waitWithTimeout({ clock, promises: [exchange.ended], timeoutMs: 500 });
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
