/** Properties of a stream that determine its idle timeout. */
export interface IdleTimeoutInput {
    /** Latency target of the route, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Longest pause between events for which the stream is on time, in milliseconds. */
    readonly eventGapTargetMs: number;
    /** Time from the last event to the deadline of the request, in milliseconds. */
    readonly remainingMs: number;
}

const minPatienceMs = 2_000;
const targetMultiple = 4;
const eventGapMultiple = 8;
const resumptionShare = 0.25; // of what callers wait; at least the latency target
const longestSoundSilenceMs = 1_500; // a sound upstream may fall silent for a second or so and go on

/** Shortest idle timeout, in milliseconds. */
export const minIdleTimeoutMs = 1_500;

/**
 * Computes how long to wait for the next event of a stream before it may go on at another upstream. The timeout exceeds the
 * silences of sound upstreams where callers wait longer: they abandon a stream after a gap of 2 s, four times the latency
 * target or eight times the longest pause, whichever is longest, and at its deadline.
 *
 * @param input - targets of the route and the time that is left
 * @returns timeout in milliseconds
 */
export const computeIdleTimeoutMs = (input: IdleTimeoutInput): number => {
    const { targetLatencyMs, eventGapTargetMs, remainingMs } = input;
    const patienceMs = Math.max(
        minPatienceMs,
        targetLatencyMs * targetMultiple,
        eventGapTargetMs * eventGapMultiple,
    );
    const latestMs = Math.min(patienceMs, remainingMs) * (1 - resumptionShare);
    return Math.max(minIdleTimeoutMs, Math.min(latestMs, longestSoundSilenceMs + eventGapTargetMs));
};
