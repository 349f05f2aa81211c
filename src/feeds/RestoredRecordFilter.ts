/** Options of {@link RestoredRecordFilter.filter}. */
export interface FilterRestoredOptions {
    /** Whether the store was restored from an older copy since the previous listing. */
    readonly isRestored: boolean;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
}

const rememberedMs = 60_000; // restored copies are some seconds old
const hiddenMs = 10_000; // the platform removes the entry of a silent writer sooner

/**
 * Hides records that a restored store lists again although they had been removed. A hidden record counts again when it
 * is written again, or after 10 s, by which time the platform has removed what nobody renews.
 */
export class RestoredRecordFilter<T> {
    /** Monotonic time of the removal by key, in milliseconds. */
    private readonly removedAtMs = new Map<string, number>();
    /** Hidden records by key, in the form in which they were restored. */
    private readonly hidden = new Map<string, string>();
    private hiddenUntilMs = Infinity;

    /** Whether hidden records count again now, so that the records have to be listed again. */
    isDue(nowMs: number): boolean {
        return this.hidden.size > 0 && nowMs >= this.hiddenUntilMs;
    }

    /** Records a change of the record with this key; `isRemoval` tells whether it was removed. */
    recordChange(key: string, isRemoval: boolean, nowMs: number): void {
        this.hidden.delete(key);
        this.removedAtMs.delete(key);
        if (isRemoval) {
            this.removedAtMs.set(key, nowMs);
        }
        for (const [oldest, atMs] of this.removedAtMs) {
            if (atMs >= nowMs - rememberedMs) {
                break; // insertion order is the order of the removals
            }
            this.removedAtMs.delete(oldest);
        }
    }

    /**
     * Removes the hidden records from a listing.
     *
     * @param listed - all records of the feed
     * @param options - circumstances of the listing
     * @returns the records that count
     */
    filter(
        listed: ReadonlyMap<string, T>,
        { isRestored, nowMs }: FilterRestoredOptions,
    ): ReadonlyMap<string, T> {
        if (isRestored) {
            this.recordHidden(listed, nowMs);
        }
        if (this.isDue(nowMs)) {
            this.hidden.clear();
        }
        return new Map(
            [...listed].filter(([key, record]) =>
                !this.hidden.has(key) || this.hidden.get(key) !== JSON.stringify(record)
            ),
        );
    }

    private recordHidden(listed: ReadonlyMap<string, T>, nowMs: number): void {
        for (const [key, record] of listed) {
            const removedAtMs = this.removedAtMs.get(key);
            if (removedAtMs !== undefined && removedAtMs >= nowMs - rememberedMs) {
                this.hidden.set(key, JSON.stringify(record));
                this.hiddenUntilMs = nowMs + hiddenMs;
            }
        }
    }
}
