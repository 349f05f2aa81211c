import { abortReason } from "../_lib/abortReason";
import type { ObservableValue } from "../_lib/ObservableValue";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeReadAgeMs } from "./computeReadAgeMs";
import { FeedReplica } from "./FeedReplica";
import type { StoreClock } from "./StoreClock";
import type { StoreEra } from "./StoreEra";
import type { FeedChanges, FeedSharing, FeedSnapshot, FeedUpdate, RecordFeed } from "./types";

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
const minSleepMs = 20;
const minWaitMs = 1; // a node that only confirms its records wants the answer at once

/**
 * Follows a feed: lists its records, then applies changes. Lists them again after a gap in the history, an error, or a
 * restore of the store from an older copy.
 *
 * Once {@link setSharing} was called, a few nodes read the store and pass their readings on; the others read it only when
 * no reading has reached them for a while. The age of the records is that of the reading, whoever made it.
 */
export class FeedFollower<T> {
    private readonly replica = new FeedReplica<T>();
    private readonly scope: TaskScope;
    private sharing: FeedSharing<T> | undefined;
    private isListed = false;
    /** Monotonic time of the first failed call since the last success; undefined while the store answers. */
    private failingSinceMs: number | undefined;
    private recoveredAtMs = -Infinity;
    /** Ends the current pause of a node that does not read now. */
    private pauseAbort = new AbortController();
    private isStopped = false;

    constructor(private readonly options: FeedFollowerOptions<T>) {
        this.scope = createLoggedTaskScope(options.events);
    }

    /** The records as last read; undefined before the first listing. */
    get records(): ObservableValue<ReadonlyMap<string, T> | undefined> {
        return this.replica.records;
    }

    async start(): Promise<void> {
        this.scope.run(`feed-${this.options.name}`, signal => this.follow(signal));
        this.options.storeClock.losses.onChange(() => this.confirmSoon());
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        this.pauseAbort.abort(abortReason);
        await this.scope.cancel();
    }

    /** Shares readings with the other nodes from now on. */
    setSharing(sharing: FeedSharing<T>): void {
        this.sharing = sharing;
    }

    /** Applies a reading that another node has passed on. */
    receive(update: FeedUpdate<T>): void {
        if (this.options.storeEra?.observe(update.era) === false) {
            return;
        }
        if (update.isRecovery) {
            this.recoveredAtMs = this.options.clock.readMonotonicMs();
        }
        if (this.replica.apply(update, this.options.clock.readMonotonicMs()) === "gap") {
            this.isListed = false;
            this.pauseAbort.abort(abortReason);
        }
    }

    /**
     * Returns the time since the store last confirmed that the records are up to date.
     *
     * @returns milliseconds; infinite if there was no confirmation or the age is unknown
     */
    readAgeMs(): number {
        const nowMs = this.options.storeClock.readStoreMs();
        const { confirmedStoreMs } = this.replica;
        return nowMs === undefined || confirmedStoreMs === undefined ? Infinity : nowMs - confirmedStoreMs;
    }

    /** Returns the time since the store recovered from an outage, in milliseconds; infinite if there was none. */
    readSinceRecoveryMs(): number {
        return this.options.clock.readMonotonicMs() - this.recoveredAtMs;
    }

    /**
     * Returns the time since the records were confirmed again after a pause in which they may have been outdated: the store
     * could not be read for long, here and by other nodes, or was restored.
     *
     * @returns milliseconds; infinite if there was no such pause
     */
    readSinceResumedMs(): number {
        const nowMs = this.options.storeClock.readStoreMs();
        const { resumedStoreMs } = this.replica;
        return nowMs === undefined || resumedStoreMs === undefined ? Infinity : nowMs - resumedStoreMs;
    }

    private *follow(signal: AbortSignal): Task<void> {
        let retryMs = firstRetryMs;
        while (!signal.aborted) {
            const readAgeMs = this.computeOwnReadAgeMs();
            const pauseMs = this.computePauseMs(readAgeMs);
            if (pauseMs > 0) {
                yield* this.pause(pauseMs);
                continue;
            }
            try {
                this.isListed = this.hasToList()
                    ? yield* this.listRecords()
                    : yield* this.receiveChanges(readAgeMs === 0 ? this.options.waitMs : minWaitMs);
                retryMs = firstRetryMs;
                this.reportStoreState(undefined);
            }
            catch (error) {
                this.reportStoreState(error as Error);
                if (this.isListed) {
                    this.isListed = false;
                    continue; // list immediately: the store may be available and only the waiting call lost
                }
                yield* waitFor(this.options.clock.sleep(retryMs, signal));
                retryMs = Math.min(maxRetryMs, retryMs * 2);
            }
        }
    }

    /** Computes the time until this node has to read the store, if no other node's reading arrives, in milliseconds. */
    private computePauseMs(readAgeMs: number): number {
        if (!this.sharing || this.hasToList()) {
            return 0;
        }
        const pauseMs = readAgeMs - this.readAgeMs();
        return pauseMs > 0 ? Math.max(minSleepMs, pauseMs) : 0;
    }

    /** Age of the records at which this node reads the store, in milliseconds; 0 for a regular reader. */
    private computeOwnReadAgeMs(): number {
        return this.sharing
            ? computeReadAgeMs({ rank: this.sharing.readRank(), waitMs: this.options.waitMs })
            : 0;
    }

    /** Asks the store once, beside the call that may be waiting, since the age of the records is unknown. */
    private confirmSoon(): void {
        if (this.isListed && !this.isStopped) {
            this.scope.run(`confirm-${this.options.name}`, () => this.confirm());
        }
    }

    private *confirm(): Task<void> {
        try {
            yield* this.receiveChanges(minWaitMs);
        }
        catch {
            // The follower's next call reports the state of the store.
        }
    }

    private *pause(durationMs: number): Task<void> {
        this.pauseAbort = new AbortController();
        yield* waitFor(this.options.clock.sleep(durationMs, this.pauseAbort.signal));
    }

    private hasToList(): boolean {
        return !this.isListed || this.readEra() !== this.replica.era
            || this.replica.hasDueRecords(this.options.clock.readMonotonicMs());
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
        const isRestored = this.replica.era !== undefined && era !== this.replica.era;
        const isRecovery = isRestored
            || (this.failingSinceMs !== undefined && nowMs - this.failingSinceMs >= minOutageMs);
        if (isRecovery) {
            this.recoveredAtMs = nowMs;
        }
        if (isRestored) {
            this.options.events.emit(eventKinds.storeRestored, {
                feed: this.options.name,
                era,
                before: this.replica.era,
                records: snapshot.records.size,
            });
        }
        const listing: FeedUpdate<T> = {
            era,
            after: undefined,
            position: snapshot.position,
            storeMs: snapshot.storeMs,
            isRecovery,
            written: [...snapshot.records],
            removed: [],
        };
        const difference = this.sharing && this.replica.compareListing(listing);
        this.options.storeClock.update(snapshot.storeMs);
        this.replica.apply(listing, nowMs);
        if (difference) {
            this.sharing?.publish(difference);
        }
        return true;
    }

    /** Waits for changes once; returns false if the records must be listed again. */
    private *receiveChanges(waitMs: number): Task<boolean> {
        const { position, era } = this.replica;
        const answer: FeedChanges<T> | undefined = yield* waitFor(
            this.options.feed.waitForChanges(position, waitMs),
        );
        if (!answer || this.readEra() !== era) {
            return false;
        }
        const changes = [...answer.changes];
        const update: FeedUpdate<T> = {
            era,
            after: position,
            position: answer.position,
            storeMs: answer.storeMs,
            isRecovery: false,
            written: changes.filter((change): change is [string, T] => change[1] !== undefined),
            removed: changes.filter(change => change[1] === undefined).map(([key]) => key),
        };
        this.options.storeClock.update(answer.storeMs);
        const isWanted = changes.length > 0 || this.readAgeMs() >= this.computeOwnReadAgeMs();
        const result = this.replica.apply(update, this.options.clock.readMonotonicMs());
        if (isWanted) {
            this.sharing?.publish(update);
        }
        return result === "applied";
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
