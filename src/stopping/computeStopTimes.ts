import type { StopTimes } from "./types";

/** Input of {@link computeStopTimes}. */
export interface ComputeStopTimesOptions {
    /** Monotonic time before which the stop was not requested, in milliseconds. */
    readonly requestedMs: number;
    /** Monotonic time at which the request to stop was handled, in milliseconds. */
    readonly handledMs: number;
    /** Time from the request to stop to the end of the process, in milliseconds. */
    readonly graceMs: number;
}

const maxAcceptMs = 3_000; // a request that callers sent later must not be cut at the end of the grace period
const acceptShare = 3 / 8; // of a grace period in which that would leave too little time for long requests
const maxSignalDelayMs = 500; // the request to stop may be noticed, and the time be read, this much late
const signalDelayShare = 1 / 16;
const maxAnswerLeadMs = 1_000; // within the last sixth of the grace period, in which upstreams may be left
const answerLeadShare = 1 / 8;
const maxCloseLeadMs = 400; // for closing and the last log lines
const closeLeadShare = 1 / 20;
const minStreamShare = 7 / 8; // of the grace period, for streams under way, if the request to stop was not late at all

/**
 * Computes the times of a planned stop from its grace period. Short grace periods are divided in the same way as long ones.
 * The request to stop may have come at any time before it was handled: each time suits the worst case.
 *
 * @param options - when the stop was requested and handled, and the grace period
 * @returns the times
 */
export const computeStopTimes = (options: ComputeStopTimesOptions): StopTimes => {
    const { requestedMs, handledMs, graceMs } = options;
    const acceptMs = Math.min(maxAcceptMs, graceMs * acceptShare);
    const signalDelayMs = Math.min(maxSignalDelayMs, graceMs * signalDelayShare);
    const endMs = requestedMs + graceMs;
    const closeMs = endMs - Math.min(maxCloseLeadMs, graceMs * closeLeadShare);
    return {
        acceptEndMs: requestedMs + acceptMs - signalDelayMs,
        answerEndMs: endMs - Math.min(maxAnswerLeadMs, graceMs * answerLeadShare),
        closeMs: Math.max(closeMs, handledMs + graceMs * minStreamShare),
    };
};
