/** Types of leases. */

/** Remaining times in which calls may still arrive, in milliseconds, by the key of their duty and subject. */
export type PendingWaits = Readonly<Record<string, number>>;

/** Value of a lease's row in the table service. */
export interface LeaseRow {
    readonly holder: string;
    /** Identifies one holding; a node that acquires the lease again gets a new one. */
    readonly holdingId: string;
    /** Fencing number: increases with each new holding. Orders carry it. */
    readonly fencing: number;
    /** Time for which the lease is valid after a renewal, in milliseconds. */
    readonly durationMs: number;
    /** Number of renewals. Each renewal therefore changes the row. */
    readonly renewals: number;
    /** Identifies one write, as a renewal may be tried more than once; absent in rows of earlier versions. */
    readonly writeId?: string;
    /**
     * Calls under the lease that may still be carried out: remaining times in milliseconds, by duty and subject. Absent in
     * rows of earlier versions, of which some have the calls under way alone, by another name.
     */
    readonly lateCalls?: PendingWaits;
    /** Era of the store in which the row was written, if the store states eras. */
    readonly era?: number;
}

/** A lease that this node holds. */
export interface HeldLease {
    readonly fencing: number;
    /** Time in which the holder may still act, by its own clocks, in milliseconds. */
    readonly remainingMs: number;
    /** Time since the last renewal began, by the monotonic clock, in milliseconds. */
    readonly monotonicAgeMs: number;
    /** The same by the wall clock. */
    readonly wallAgeMs: number;
}

/** What a call is about. */
export interface DutyTarget {
    readonly duty: string;
    /** Calls about one subject replace each other. */
    readonly subject: string;
}
