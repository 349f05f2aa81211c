import { ObservableValue } from "../_lib/ObservableValue";
import { maxConfirmedAgeMs } from "./constants";
import { RestoredRecordFilter } from "./RestoredRecordFilter";
import type { FeedUpdate } from "./types";

/** Result of applying an update: `gap` means that changes are missing and the records have to be listed. */
export type ApplyResult = "applied" | "gap";

/** A node's copy of the records of a feed, with its position in the feed and the time of its confirmation. */
export class FeedReplica<T> {
    /** The records as last read; undefined before the first listing. */
    readonly records = new ObservableValue<ReadonlyMap<string, T> | undefined>(undefined);
    private readonly restoredFilter = new RestoredRecordFilter<T>();
    private feedPosition = 0;
    private feedEra: number | undefined;
    private confirmedMs: number | undefined;
    private resumedMs: number | undefined;

    /** Position after which to request changes. */
    get position(): number {
        return this.feedPosition;
    }

    /** Era of the store in which the records were listed; undefined if the store states none. */
    get era(): number | undefined {
        return this.feedEra;
    }

    /** Time on the store's clock at which the records were last known to be complete, in milliseconds. */
    get confirmedStoreMs(): number | undefined {
        return this.confirmedMs;
    }

    /**
     * Time on the store's clock at which confirmations went on after a pause in which the records may have been outdated,
     * in milliseconds; undefined if there was none.
     */
    get resumedStoreMs(): number | undefined {
        return this.resumedMs;
    }

    /** Whether hidden records count again now, so that the records have to be listed again. */
    hasDueRecords(nowMs: number): boolean {
        return this.restoredFilter.isDue(nowMs);
    }

    /**
     * Applies an update. One that the replica is already past only confirms the records.
     *
     * @param update - a reading of the store, by this node or another one
     * @param nowMs - monotonic time, in milliseconds
     */
    apply(update: FeedUpdate<T>, nowMs: number): ApplyResult {
        if (update.after === undefined) {
            this.adoptAll(update, nowMs);
            return "applied";
        }
        if (!this.records.value || update.era !== this.feedEra || update.after > this.feedPosition) {
            return "gap";
        }
        if (update.position > this.feedPosition) {
            this.applyChanges(update, nowMs);
        }
        this.confirm(update.storeMs, false);
        return "applied";
    }

    /**
     * Describes a listing as an update: the differences from the present records, or all records if the replica has none
     * of the listing's era.
     *
     * @param listing - the listing, as an update with all records
     */
    compareListing(listing: FeedUpdate<T>): FeedUpdate<T> {
        const known = this.records.value;
        if (!known || listing.era !== this.feedEra) {
            return listing;
        }
        const listed = new Map(listing.written);
        return {
            ...listing,
            after: this.feedPosition,
            written: listing.written.filter(([key, record]) => !isSameRecord(known.get(key), record)),
            removed: [...known.keys()].filter(key => !listed.has(key)),
        };
    }

    private adoptAll(update: FeedUpdate<T>, nowMs: number): void {
        if (update.era === this.feedEra && update.position < this.feedPosition) {
            return;
        }
        const listed = new Map(update.written);
        for (const key of this.records.value?.keys() ?? []) {
            if (!listed.has(key)) {
                this.restoredFilter.recordChange(key, true, nowMs);
            }
        }
        const isRestored = this.feedEra !== undefined && update.era !== this.feedEra;
        this.feedEra = update.era;
        this.feedPosition = update.position;
        const isAfterOutage = update.isRecovery && this.records.value === undefined;
        this.confirm(update.storeMs, isRestored || isAfterOutage);
        this.records.set(this.restoredFilter.filter(listed, { isRestored, nowMs }));
    }

    private applyChanges({ position, written, removed }: FeedUpdate<T>, nowMs: number): void {
        this.feedPosition = position;
        if (written.length + removed.length === 0) {
            return;
        }
        const next = new Map(this.records.value);
        for (const key of removed) {
            this.restoredFilter.recordChange(key, true, nowMs);
            next.delete(key);
        }
        for (const [key, record] of written) {
            this.restoredFilter.recordChange(key, false, nowMs);
            next.set(key, record);
        }
        this.records.set(next);
    }

    private confirm(storeMs: number, isInterrupted: boolean): void {
        if (isInterrupted || storeMs - (this.confirmedMs ?? storeMs) > maxConfirmedAgeMs) {
            this.resumedMs = storeMs;
        }
        this.confirmedMs = Math.max(this.confirmedMs ?? -Infinity, storeMs);
    }
}

const isSameRecord = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);
