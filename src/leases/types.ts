/** Shapes of leases. */

/** Value of a lease's row. */
export interface LeaseRow {
    readonly holder: string;
    /** Differs for each holding, also of the same node. */
    readonly holdingId: string;
    /** Grows by one with each new holding; orders carry it. */
    readonly fencing: number;
    /** Time for which a renewal counts, in milliseconds. */
    readonly durationMs: number;
    /** Counts the renewals, so that each one changes the row. */
    readonly renewals: number;
}

/** A lease that this node holds. */
export interface HeldLease {
    readonly fencing: number;
    /** Time left in which the holder may act, by its monotonic clock, in milliseconds. */
    readonly remainingMs: number;
}
