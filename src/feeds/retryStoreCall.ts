import type { Clock } from "../kernel/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link retryStoreCall}. */
export interface RetryStoreCallOptions<T> {
    /** Name of the call for logs. */
    readonly name: string;
    /** Makes the call; undefined means that it must be retried. */
    readonly call: () => Promise<T | undefined>;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Cancels the retries. Default: the call is retried until it succeeds. */
    readonly signal?: AbortSignal;
}

const firstRetryMs = 50;
const maxRetryMs = 1_000; // a recovered store is used again within a second

/**
 * Calls the store until the call succeeds, with exponential back-off.
 *
 * @param options - the call
 * @returns the result; undefined if the signal aborted the retries
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
