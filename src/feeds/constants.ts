/**
 * Age of the last confirmation up to which records count as current, in milliseconds. Records are confirmed at least every
 * 1.4 s while the store or a member is reachable.
 */
export const maxConfirmedAgeMs = 2_000;
