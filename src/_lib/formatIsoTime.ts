/**
 * Formats a wall-clock time as ISO 8601.
 *
 * @param timeMs - milliseconds since the epoch
 * @returns the time in UTC, such as `2026-12-04T06:00:00.000Z`
 */
export const formatIsoTime = (timeMs: number): string => {
    // eslint-disable-next-line no-restricted-globals -- formats a given time; does not read the clock
    return new Date(timeMs).toISOString();
};
