/** Types of feeds: records that the platform stores and whose changes it publishes. */

/** All records of a feed at one point in time. */
export interface FeedSnapshot<T> {
    /** Records by key. */
    readonly records: ReadonlyMap<string, T>;
    /** Position after which to request changes. */
    readonly position: number;
    /** The store's monotonic clock when it answered, in milliseconds. */
    readonly storeMs: number;
}

/** Changes of a feed since a position. */
export interface FeedChanges<T> {
    /** Changed records by key; undefined for removed ones. */
    readonly changes: ReadonlyMap<string, T | undefined>;
    readonly position: number;
    /** The store's monotonic clock when it answered, in milliseconds. */
    readonly storeMs: number;
}

/** Records of one kind that the platform stores. Every call may reject with a StoreError. */
export interface RecordFeed<T> {
    list(): Promise<FeedSnapshot<T>>;
    /**
     * Waits for changes after a position.
     *
     * @param position - position of the last snapshot or change received
     * @param waitMs - maximum time to wait, in milliseconds
     * @returns the changes, which are empty after `waitMs`; undefined if the history no longer contains the position
     */
    waitForChanges(position: number, waitMs: number): Promise<FeedChanges<T> | undefined>;
}

/** What one reading of the store told a node, as it is passed on to the other nodes. */
export interface FeedUpdate<T> {
    /** Era of the store; undefined if the store states none. */
    readonly era: number | undefined;
    /** Position to which the changes apply; undefined if the update holds all records. */
    readonly after: number | undefined;
    readonly position: number;
    /** The store's monotonic clock when it answered, in milliseconds. */
    readonly storeMs: number;
    /** Whether the reading was the first one after an outage of the store. */
    readonly isRecovery: boolean;
    readonly written: readonly (readonly [key: string, record: T])[];
    readonly removed: readonly string[];
}

/** How a node shares its readings of a feed with the other nodes. */
export interface FeedSharing<T> {
    /** Place of this node in the order in which nodes read the store for all, from 0. */
    readRank(): number;
    /** Passes a reading on to the other nodes. */
    publish(update: FeedUpdate<T>): void;
}
