import { ObservableValue } from "../_lib/ObservableValue";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createReportingScope } from "../telemetry/createReportingScope";
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
    /** Longest wait of one call for changes, in milliseconds. */
    readonly waitMs: number;
}

const firstRetryMs = 100;
const maxRetryMs = 800; // the store's return is noticed within a second
const leastOutageMs = 1_000; // a connection that was reset is no outage

/** Follows a feed: lists its records once, then waits for changes, and lists again after a gap in the history or a lost answer. */
export class FeedFollower<T> {
    /** The records as last read; undefined before the first listing. */
    readonly records = new ObservableValue<ReadonlyMap<string, T> | undefined>(undefined);
    private readonly scope: TaskScope;
    private position = 0;
    private confirmedStoreMs: number | undefined;
    /** Monotonic time at which the store failed; undefined while it answers. */
    private failingSinceMs: number | undefined;
    private recoveredAtMs = -Infinity;

    constructor(private readonly options: FeedFollowerOptions<T>) {
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run(`feed-${this.options.name}`, signal => this.follow(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Time since the store last confirmed that the records are the newest.
     *
     * @returns milliseconds; infinite when it never did or the age is not known
     */
    readAgeMs(): number {
        const nowMs = this.options.storeClock.readStoreMs();
        return nowMs === undefined || this.confirmedStoreMs === undefined
            ? Infinity
            : nowMs - this.confirmedStoreMs;
    }

    /** Time since the store answered again after an outage; infinite when there was none. */
    readSinceRecoveryMs(): number {
        return this.options.clock.readMonotonicMs() - this.recoveredAtMs;
    }

    private *follow(signal: AbortSignal): Task<void> {
        let retryMs = firstRetryMs;
        let isListed = false;
        while (!signal.aborted) {
            try {
                isListed = isListed ? yield* this.followOnce() : yield* this.list();
                retryMs = firstRetryMs;
                this.report(undefined);
            }
            catch (error) {
                this.report(error as Error);
                if (isListed) {
                    isListed = false;
                    continue; // a read is answered soon where only the wait for changes got lost
                }
                yield* waitFor(this.options.clock.sleep(retryMs, signal));
                retryMs = Math.min(maxRetryMs, retryMs * 2);
            }
        }
    }

    private *list(): Task<boolean> {
        const snapshot: FeedSnapshot<T> = yield* waitFor(this.options.feed.list());
        const nowMs = this.options.clock.readMonotonicMs();
        if (this.failingSinceMs !== undefined && nowMs - this.failingSinceMs >= leastOutageMs) {
            this.recoveredAtMs = nowMs;
        }
        this.position = snapshot.position;
        this.confirm(snapshot.storeMs);
        this.records.set(snapshot.records);
        return true;
    }

    /** Waits for one answer; returns false when the records must be listed again. */
    private *followOnce(): Task<boolean> {
        const answer: FeedChanges<T> | undefined = yield* waitFor(
            this.options.feed.waitForChanges(this.position, this.options.waitMs),
        );
        if (!answer) {
            return false;
        }
        this.position = answer.position;
        this.confirm(answer.storeMs);
        if (answer.changes.size > 0) {
            this.records.set(applyChanges(this.records.value!, answer.changes));
        }
        return true;
    }

    private confirm(storeMs: number): void {
        this.options.storeClock.update(storeMs);
        this.confirmedStoreMs = Math.max(this.confirmedStoreMs ?? -Infinity, storeMs);
    }

    private report(error: Error | undefined): void {
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
