import type { Clock } from "../kernel/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link retryStoreCall}. */
export interface RetryStoreCallOptions<T> {
    /** Name of the call for logs. */
    readonly name: string;
    /** Makes the call; undefined means that it has to be made again. */
    readonly call: () => Promise<T | undefined>;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Ends the tries. Default: they go on until the call succeeds. */
    readonly signal?: AbortSignal;
}

const firstRetryMs = 50;
const maxRetryMs = 1_000; // a store that comes back is used within a second

/**
 * Makes a call to the store until it succeeds, with growing pauses.
 *
 * @param options - the call
 * @returns its result; undefined when the signal ended the tries
 */
export const retryStoreCall = async <T>(options: RetryStoreCallOptions<T>): Promise<T | undefined> => {
    const { name, call, clock, events, signal } = options;
    for (let retryMs = firstRetryMs; !signal?.aborted; retryMs = Math.min(maxRetryMs, retryMs * 2)) {
        try {
            const result = await call();
            if (result !== undefined) {
                return result;
            }
        }
        catch (error) {
            events.emit(eventKinds.storeFailed, { call: name, error: String(error) });
        }
        await clock.sleep(retryMs, signal);
    }
    return undefined;
};
