import { abortReason } from "../_lib/abortReason";
import type { ObservableValue } from "../_lib/ObservableValue";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { runTask } from "../kernel/runTask";
import { waitFor } from "../kernel/waitFor";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { CallOutcomes } from "./CallOutcomes";
import { computeReadAgeMs } from "./computeReadAgeMs";
import { type ApplyResult, FeedReplica } from "./FeedReplica";
import { SharedReading } from "./SharedReading";
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
    /** Time after a change before this node waits for the next ones, in milliseconds; default 0. */
    readonly batchMs?: number;
}

const firstRetryMs = 100;
const maxRetryMs = 800; // a recovery of the store is detected within a second
const minOutageMs = 1_000; // a reset connection is not an outage
const minSleepMs = 20;
const minWaitMs = 1; // a node that only confirms its records wants the answer at once
const confirmIntervalMs = 100; // bounds the calls while many ask for a confirmation
const maxRefreshMs = 2_000;

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
    private readonly confirmation: SharedReading;
    private sharing: FeedSharing<T> | undefined;
    private isListed = false;
    /** Monotonic time of the first failed call since the last success; undefined while the store answers. */
    private failingSinceMs: number | undefined;
    private readonly outcomes = new CallOutcomes();
    private refreshing: Promise<void> | undefined;
    private recoveredAtMs = -Infinity;
    private latestSource: "store" | "member" = "store";
    /** Ends the current pause of a node that does not read now. */
    private pauseAbort = new AbortController();
    /** End the waits for answers of calls that began before a suspension. */
    private readonly interrupts = new Set<() => void>();

    constructor(private readonly options: FeedFollowerOptions<T>) {
        this.scope = createLoggedTaskScope(options.events);
        this.confirmation = new SharedReading({
            clock: options.clock,
            read: () => this.readNow(),
            intervalMs: confirmIntervalMs,
        });
        options.storeClock.onJump(() => this.interruptWaits());
    }

    /** The records as last read; undefined before the first listing. */
    get records(): ObservableValue<ReadonlyMap<string, T> | undefined> {
        return this.replica.records;
    }

    /** Whether the latest reading was made by this node, or passed on by another one. */
    get source(): "store" | "member" {
        return this.latestSource;
    }

    async start(): Promise<void> {
        this.scope.run(`feed-${this.options.name}`, signal => this.follow(signal));
    }

    async stop(): Promise<void> {
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
        this.latestSource = "member";
        if (this.replica.apply(update, this.options.clock.readMonotonicMs()) === "gap") {
            this.reload();
        }
    }

    /** Whether the records include all that a reading told. */
    hasRead({ era, position }: Pick<FeedUpdate<T>, "era" | "position">): boolean {
        return this.replica.records.value !== undefined && era === this.replica.era
            && position <= this.replica.position;
    }

    /** Lists the records again, as some are missing. */
    reload(): void {
        this.isListed = false;
        this.pauseAbort.abort(abortReason);
    }

    /**
     * Confirms the records by a reading of the store that begins after this call, whatever the clocks say. Readings are
     * shared by all that wait for one.
     *
     * @returns whether the records are those of the store at a time after the call; false if the store can't be read now
     */
    confirm(): Promise<boolean> {
        return this.confirmation.join();
    }

    /** Whether the store could not be read the last times that this node tried. */
    get isStoreAway(): boolean {
        return this.outcomes.isStoreAway;
    }

    /**
     * Reads the store until the records are young enough. Ends without that if the store is away, or the reading takes too
     * long.
     *
     * @param maxAgeMs - age up to which the records are young enough, in milliseconds
     */
    refresh(maxAgeMs: number): Promise<void> {
        this.refreshing ??= this.readUntilYoung(maxAgeMs).finally(() => {
            this.refreshing = undefined;
        });
        return this.refreshing;
    }

    /**
     * Returns the time since the store last confirmed that the records are up to date, or a little more.
     *
     * @returns milliseconds; infinite if there was no confirmation or the age is unknown
     */
    readAgeMs(): number {
        const nowMs = this.options.storeClock.readLatestStoreMs();
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

    /**
     * Time on the store's clock of the latest end of such a pause, in milliseconds; undefined if there was none. It tells
     * two pauses apart.
     */
    get resumedStoreMs(): number | undefined {
        return this.replica.resumedStoreMs;
    }

    private async readUntilYoung(maxAgeMs: number): Promise<void> {
        const { clock } = this.options;
        const endMs = clock.readMonotonicMs() + maxRefreshMs;
        while (this.readAgeMs() > maxAgeMs && !this.isStoreAway && clock.readMonotonicMs() < endMs) {
            await (this.hasToList() ? this.outcomes.waitForNext() : this.confirm());
        }
    }

    private async readNow(): Promise<boolean> {
        try {
            const task = runTask(() => this.receiveChanges(minWaitMs), {
                name: `confirm-${this.options.name}`,
            });
            const result = await task.done;
            this.outcomes.record(true);
            if (result === "gap") {
                this.reload();
            }
            return result === "applied";
        }
        catch (error) {
            this.outcomes.record(false);
            this.options.events.emit(eventKinds.storeFailed, {
                feed: this.options.name,
                call: "confirm records",
                error: String(error),
            });
            return false;
        }
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
            const before = this.records.value;
            try {
                this.isListed = this.hasToList()
                    ? yield* this.listRecords()
                    : (yield* this.receiveChanges(this.computeWaitMs(readAgeMs))) !== "gap";
                retryMs = firstRetryMs;
                this.outcomes.record(true);
                this.reportStoreState(undefined);
                if (this.options.batchMs && this.records.value !== before) {
                    yield* this.pause(this.options.batchMs);
                }
            }
            catch (error) {
                this.outcomes.record(false);
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

    /** Computes how long a call may wait for changes, in milliseconds. One after a suspension only confirms the records. */
    private computeWaitMs(readAgeMs: number): number {
        const isRegular = readAgeMs === 0 && this.options.storeClock.readStoreMs() !== undefined;
        return isRegular ? this.options.waitMs : minWaitMs;
    }

    /** Whether the others get this node's readings now: it reads for all, or none of their readings has come in time. */
    private isDueForOthers(): boolean {
        return this.readAgeMs() >= this.computeOwnReadAgeMs();
    }

    private interruptWaits(): void {
        this.pauseAbort.abort(abortReason);
        this.interrupts.forEach(interrupt => interrupt());
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
        const updateClock = this.options.storeClock.beginCall(0);
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
        const isWanted = this.replica.records.value
            ? this.isDueForOthers()
            : this.computeOwnReadAgeMs() === 0;
        const difference = this.sharing && isWanted ? this.replica.compareListing(listing) : undefined;
        updateClock(snapshot.storeMs);
        this.latestSource = "store";
        this.replica.apply(listing, nowMs);
        if (difference) {
            this.sharing?.publish(difference);
        }
        return true;
    }

    /** Waits for changes once; `interrupted` means that the machine was suspended meanwhile. */
    private *receiveChanges(waitMs: number): Task<ApplyResult | "interrupted"> {
        const { position, era } = this.replica;
        const updateClock = this.options.storeClock.beginCall(waitMs);
        const received = yield* this.waitUnlessInterrupted(
            this.options.feed.waitForChanges(position, waitMs),
        );
        if (!received) {
            return "interrupted";
        }
        const { answer } = received;
        if (!answer || this.readEra() !== era) {
            return "gap";
        }
        const changes = [...answer.changes];
        updateClock(answer.storeMs);
        const isWanted = this.isDueForOthers();
        const hasNews = isWanted || changes.length > 0;
        const update: FeedUpdate<T> = {
            era,
            after: position,
            // A position that others do not get may lead to a gap for them, so that it moves only where it has to.
            position: hasNews ? answer.position : position,
            storeMs: answer.storeMs,
            isRecovery: false,
            written: changes.filter((change): change is [string, T] => change[1] !== undefined),
            removed: changes.filter(change => change[1] === undefined).map(([key]) => key),
        };
        this.latestSource = "store";
        const result = this.replica.apply(update, this.options.clock.readMonotonicMs());
        if (isWanted) {
            this.sharing?.publish(update);
        }
        return result;
    }

    /** Waits for an answer; returns undefined if the machine was suspended meanwhile, since it may never arrive then. */
    private *waitUnlessInterrupted(
        call: Promise<FeedChanges<T> | undefined>,
    ): Task<{ readonly answer: FeedChanges<T> | undefined; } | undefined> {
        let interrupt = (): void => {};
        const interrupted = new Promise<undefined>(resolve => {
            interrupt = () => resolve(undefined);
        });
        this.interrupts.add(interrupt);
        try {
            return yield* waitFor(Promise.race([call.then(answer => ({ answer })), interrupted]));
        }
        finally {
            this.interrupts.delete(interrupt);
        }
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
