/**
 * Formats a wall-clock time.
 *
 * @param timeMs - milliseconds since the epoch
 * @returns ISO 8601 in UTC
 */
export const formatIsoTime = (timeMs: number): string => {
    // eslint-disable-next-line no-restricted-globals -- formats a given time and reads no clock
    return new Date(timeMs).toISOString();
};
