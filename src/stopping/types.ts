/** Types of the planned stop of a node. */

/** Times of a planned stop, on the monotonic clock, in milliseconds. */
export interface StopTimes {
    /** Until this time, every request may be passed on. */
    readonly acceptEndMs: number;
    /** At this time, requests whose response has not begun are answered with a failure. */
    readonly answerEndMs: number;
    /** At this time, connections are closed. */
    readonly closeMs: number;
}

/** Times of a planned stop that has begun. */
export interface BegunStop extends StopTimes {
    /** Time for which the request to stop may have waited, in milliseconds. */
    readonly lateMs: number;
}

/** A request that is about to be sent to an upstream. */
export interface PendingDispatch {
    /** Monotonic time of the request's deadline, in milliseconds. */
    readonly deadlineMs: number;
    /** Whether a part of a stream has been sent to the caller. */
    readonly hasBegun: boolean;
}
