import { ObservableValue } from "../_lib/ObservableValue";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { StoreClock } from "./StoreClock";
import type { FeedChanges, FeedSnapshot, RecordFeed } from "./types";

/** Options of {@link FeedFollower}. */
export interface FeedFollowerOptions<T> {
    /** Name for logs. */
    readonly name: string;
    readonly feed: RecordFeed<T>;
    readonly clock: Clock;
    readonly storeClock: StoreClock;
    readonly events: EventLog;
    /** Maximum time that one call waits for changes, in milliseconds. */
    readonly waitMs: number;
}

const firstRetryMs = 100;
const maxRetryMs = 800; // a recovery of the store is detected within a second
const minOutageMs = 1_000; // a reset connection is not an outage

/** Follows a feed: lists its records, then applies changes. Lists them again after a gap in the history or an error. */
export class FeedFollower<T> {
    /** The records as last read; undefined before the first listing. */
    readonly records = new ObservableValue<ReadonlyMap<string, T> | undefined>(undefined);
    private readonly scope: TaskScope;
    private position = 0;
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
                isListed = isListed ? yield* this.receiveChanges() : yield* this.listRecords();
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

    private *listRecords(): Task<boolean> {
        const snapshot: FeedSnapshot<T> = yield* waitFor(this.options.feed.list());
        const nowMs = this.options.clock.readMonotonicMs();
        if (this.failingSinceMs !== undefined && nowMs - this.failingSinceMs >= minOutageMs) {
            this.recoveredAtMs = nowMs;
        }
        this.position = snapshot.position;
        this.recordStoreTime(snapshot.storeMs);
        this.records.set(snapshot.records);
        return true;
    }

    /** Waits for changes once; returns false if the records must be listed again. */
    private *receiveChanges(): Task<boolean> {
        const answer: FeedChanges<T> | undefined = yield* waitFor(
            this.options.feed.waitForChanges(this.position, this.options.waitMs),
        );
        if (!answer) {
            return false;
        }
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
