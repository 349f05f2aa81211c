/** Shapes of feeds: records that the platform keeps and tells changes of. */

/** All records of a feed as of one moment. */
export interface FeedSnapshot<T> {
    /** Records by key. */
    readonly records: ReadonlyMap<string, T>;
    /** Position from which to ask for changes. */
    readonly position: number;
    /** The store's steady clock when it answered, in milliseconds. */
    readonly storeMs: number;
}

/** Changes of a feed since a position. */
export interface FeedChanges<T> {
    /** Changed records by key; undefined for removed ones. */
    readonly changes: ReadonlyMap<string, T | undefined>;
    readonly position: number;
    /** The store's steady clock when it answered, in milliseconds. */
    readonly storeMs: number;
}

/** Records of one kind that the platform keeps. Every call may reject with a StoreError. */
export interface RecordFeed<T> {
    list(): Promise<FeedSnapshot<T>>;
    /**
     * Waits for changes after a position.
     *
     * @returns the changes, none after `waitMs`, or undefined when the history no longer reaches back that far
     */
    waitForChanges(position: number, waitMs: number): Promise<FeedChanges<T> | undefined>;
}
