/** Shapes of usage reports. */

/** Requests that began to run, by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Usage of one window, as it is told to the platform. */
export interface UsageReport {
    /** Number of the window since the epoch. */
    readonly window: number;
    readonly counts: UsageCounts;
}
