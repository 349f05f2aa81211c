import { ObservableValue } from "../_lib/ObservableValue";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { RestoredRecordFilter } from "./RestoredRecordFilter";
import type { StoreClock } from "./StoreClock";
import type { StoreEra } from "./StoreEra";
import type { FeedChanges, FeedSnapshot, RecordFeed } from "./types";

/** Options of {@link FeedFollower}. */
export interface FeedFollowerOptions<T> {
    /** Name for logs. */
    readonly name: string;
    readonly feed: RecordFeed<T>;
    readonly clock: Clock;
    readonly storeClock: StoreClock;
    /** Era of the store; default: the store is never restored from an older copy. */
    readonly storeEra?: StoreEra;
    readonly events: EventLog;
    /** Maximum time that one call waits for changes, in milliseconds. */
    readonly waitMs: number;
}

const firstRetryMs = 100;
const maxRetryMs = 800; // a recovery of the store is detected within a second
const minOutageMs = 1_000; // a reset connection is not an outage

/**
 * Follows a feed: lists its records, then applies changes. Lists them again after a gap in the history, an error, or a
 * restore of the store from an older copy.
 */
export class FeedFollower<T> {
    /** The records as last read; undefined before the first listing. */
    readonly records = new ObservableValue<ReadonlyMap<string, T> | undefined>(undefined);
    private readonly scope: TaskScope;
    private readonly restoredFilter = new RestoredRecordFilter<T>();
    private position = 0;
    /** Era of the store in which the records were listed. */
    private listedEra: number | undefined;
    private confirmedStoreMs: number | undefined;
    /** Monotonic time of the first failed call since the last success; undefined while the store answers. */
    private failingSinceMs: number | undefined;
    private recoveredAtMs = -Infinity;

    constructor(private readonly options: FeedFollowerOptions<T>) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run(`feed-${this.options.name}`, signal => this.follow(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Returns the time since the store last confirmed that the records are up to date.
     *
     * @returns milliseconds; infinite if there was no confirmation or the age is unknown
     */
    readAgeMs(): number {
        const nowMs = this.options.storeClock.readStoreMs();
        return nowMs === undefined || this.confirmedStoreMs === undefined
            ? Infinity
            : nowMs - this.confirmedStoreMs;
    }

    /** Returns the time since the store recovered from an outage, in milliseconds; infinite if there was none. */
    readSinceRecoveryMs(): number {
        return this.options.clock.readMonotonicMs() - this.recoveredAtMs;
    }

    private *follow(signal: AbortSignal): Task<void> {
        let retryMs = firstRetryMs;
        let isListed = false;
        while (!signal.aborted) {
            try {
                isListed = isListed && !this.hasToList()
                    ? yield* this.receiveChanges()
                    : yield* this.listRecords();
                retryMs = firstRetryMs;
                this.reportStoreState(undefined);
            }
            catch (error) {
                this.reportStoreState(error as Error);
                if (isListed) {
                    isListed = false;
                    continue; // list immediately: the store may be available and only the waiting call lost
                }
                yield* waitFor(this.options.clock.sleep(retryMs, signal));
                retryMs = Math.min(maxRetryMs, retryMs * 2);
            }
        }
    }

    private hasToList(): boolean {
        return this.readEra() !== this.listedEra
            || this.restoredFilter.isDue(this.options.clock.readMonotonicMs());
    }

    private readEra(): number | undefined {
        return this.options.storeEra?.current.value;
    }

    /** Lists all records; returns false if the store was restored meanwhile. */
    private *listRecords(): Task<boolean> {
        const eraBefore = this.readEra();
        const snapshot: FeedSnapshot<T> = yield* waitFor(this.options.feed.list());
        const era = this.readEra();
        if (era !== eraBefore && eraBefore !== undefined) {
            return false;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        const isRestored = this.listedEra !== undefined && era !== this.listedEra;
        if (isRestored || (this.failingSinceMs !== undefined && nowMs - this.failingSinceMs >= minOutageMs)) {
            this.recoveredAtMs = nowMs;
        }
        if (isRestored) {
            this.options.events.emit(eventKinds.storeRestored, {
                feed: this.options.name,
                era,
                before: this.listedEra,
                records: snapshot.records.size,
            });
        }
        this.listedEra = era;
        this.position = snapshot.position;
        this.recordStoreTime(snapshot.storeMs);
        this.recordRemovals(snapshot.records, nowMs);
        this.records.set(this.restoredFilter.filter(snapshot.records, { isRestored, nowMs }));
        return true;
    }

    private recordRemovals(listed: ReadonlyMap<string, T>, nowMs: number): void {
        for (const key of this.records.value?.keys() ?? []) {
            if (!listed.has(key)) {
                this.restoredFilter.recordChange(key, true, nowMs);
            }
        }
    }

    /** Waits for changes once; returns false if the records must be listed again. */
    private *receiveChanges(): Task<boolean> {
        const answer: FeedChanges<T> | undefined = yield* waitFor(
            this.options.feed.waitForChanges(this.position, this.options.waitMs),
        );
        if (!answer || this.readEra() !== this.listedEra) {
            return false;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        answer.changes.forEach((record, key) =>
            this.restoredFilter.recordChange(key, record === undefined, nowMs)
        );
        this.position = answer.position;
        this.recordStoreTime(answer.storeMs);
        if (answer.changes.size > 0) {
            this.records.set(applyChanges(this.records.value!, answer.changes));
        }
        return true;
    }

    private recordStoreTime(storeMs: number): void {
        this.options.storeClock.update(storeMs);
        this.confirmedStoreMs = Math.max(this.confirmedStoreMs ?? -Infinity, storeMs);
    }

    private reportStoreState(error: Error | undefined): void {
        const isFailing = error !== undefined;
        if (isFailing === (this.failingSinceMs !== undefined)) {
            return;
        }
        this.failingSinceMs = isFailing ? this.options.clock.readMonotonicMs() : undefined;
        this.options.events.emit(isFailing ? eventKinds.storeFailed : eventKinds.storeRecovered, {
            feed: this.options.name,
            error: error?.message,
            ageMs: Math.round(this.readAgeMs()),
        });
    }
}

const applyChanges = <T>(
    records: ReadonlyMap<string, T>,
    changes: ReadonlyMap<string, T | undefined>,
): ReadonlyMap<string, T> => {
    const next = new Map(records);
    for (const [key, value] of changes) {
        if (value === undefined) {
            next.delete(key);
        }
        else {
            next.set(key, value);
        }
    }
    return next;
};
