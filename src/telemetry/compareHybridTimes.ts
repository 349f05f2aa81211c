import type { HybridTime } from "./types";

/**
 * Orders two hybrid timestamps.
 *
 * @returns negative when `a` is earlier, positive when later, 0 when equal
 */
export const compareHybridTimes = (a: HybridTime, b: HybridTime): number =>
    a.wallMs - b.wallMs || a.counter - b.counter;
