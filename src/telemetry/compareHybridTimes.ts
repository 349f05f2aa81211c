import type { HybridTime } from "./types";

/**
 * Compares two hybrid timestamps, for sorting from the earliest to the latest.
 *
 * @returns negative when `a` is earlier, positive when later, 0 when equal
 */
export const compareHybridTimes = (a: HybridTime, b: HybridTime): number =>
    a.wallMs - b.wallMs || a.counter - b.counter;
