/** Types of usage reports. */

import { z } from "zod";

/** Schema of {@link UsageCounts}. */
export const countsSchema = z.record(z.number().int().nonnegative().safe());

/** Number of requests that began to run, by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Usage in one window, as reported to the cloud. */
export interface UsageReport {
    /** Number of the window, counted from the epoch. */
    readonly window: number;
    readonly counts: UsageCounts;
}
