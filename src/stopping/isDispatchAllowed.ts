import type { PendingDispatch, StopTimes } from "./types";

/** Input of {@link isDispatchAllowed}. */
export interface IsDispatchAllowedOptions extends PendingDispatch {
    /** Present monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Times of the stop; undefined where none is planned. */
    readonly stop: StopTimes | undefined;
}

/**
 * Whether a request may be sent to an upstream now, so that the stop of the node will not cut it: at the start of the grace
 * period; later if its deadline ends it in time. A stream that has begun may go on until requests are answered finally.
 *
 * @param options - the request, the present time and the times of the stop
 * @returns whether it may be sent
 */
export const isDispatchAllowed = (options: IsDispatchAllowedOptions): boolean => {
    const { stop, nowMs, deadlineMs, hasBegun } = options;
    if (!stop || nowMs < stop.acceptEndMs) {
        return true;
    }
    return hasBegun ? nowMs < stop.answerEndMs : deadlineMs <= stop.answerEndMs;
};
