import type { TaskScope } from "../kernel/TaskScope";
import type { StoreEra } from "../feeds/StoreEra";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Row, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { CoalescedRuns } from "./CoalescedRuns";
import { computeNextFencing } from "./computeNextFencing";
import { confirmationShare } from "./constants";
import { decodePendingWaits } from "./decodePendingWaits";
import { ElapsedTime } from "./ElapsedTime";
import { LeaseRowStore, type WrittenRow } from "./LeaseRowStore";
import { anySubject, PendingCalls } from "./PendingCalls";
import type { DutyTarget, HeldLease, LeaseRow } from "./types";

/** Options of {@link Lease}. */
export interface LeaseOptions {
    /** Name of the duty that at most one node performs at a time. */
    readonly duty: string;
    readonly nodeId: string;
    readonly tables: TableService;
    /** Era of the store; default: the store is never restored from an older copy. */
    readonly storeEra?: StoreEra;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    /** Whether this node should try to acquire the lease now; only a few members are candidates. */
    readonly isCandidate: () => boolean;
    /** Time for which the lease is valid after a renewal; default 6,000 ms. */
    readonly durationMs?: number;
    /** Time after the write of a takeover in which orders of the previous holder may still arrive; default 2,000 ms. */
    readonly takeoverDelayMs?: number;
    /**
     * Time after its confirmation in which a call without an answer may still be carried out; default 8,000 ms after the
     * latest time at which it is written.
     */
    readonly lateArrivalMs?: number;
}

interface Holding {
    readonly holdingId: string;
    readonly fencing: number;
    readonly revision: number;
    /** Era of the store in which the row had this revision. */
    readonly era: number;
    readonly renewals: number;
    /** Monotonic time at which the last successful acquisition or renewal began. */
    readonly renewedAtMs: number;
    /** Wall-clock time at that moment; unlike the monotonic clock, it advances while the VM is suspended. */
    readonly renewedAtWallMs: number;
    /** Monotonic time from which the holder may act. */
    readonly activeFromMs: number;
}

interface Observation {
    readonly revision: number;
    readonly era: number;
    /** Monotonic time at which this revision was first seen. */
    readonly firstSeenMs: number;
}

const absentRevision = 0;
const renewalsPerDuration = 3;
const maxTravelMs = 8_000; // of a written call, until it is read: retransmissions on a lossy path, or a late reader
const clearDelayMs = 20; // the record of a call that follows at once clears this one as well
const safetyMarginShare = 0.2; // of the duration; allows for clocks that run at slightly different rates

/**
 * A lease on a duty, stored as a row in the table service and held by at most one node at a time. Clocks of different
 * nodes are never compared: a candidate takes over only after it has observed the row unchanged for the whole duration,
 * and the holder measures the duration from before its write. A paused holder detects expiry by its own clocks. The
 * monotonic clock stops while the VM is suspended, so the larger of the monotonic and the wall-clock time is used.
 * Orders that a former holder sent earlier are recognised by their fencing number.
 *
 * A store that was restored from an older copy may have lost renewals, and assigns the same revisions again. Candidates
 * then observe the row anew for the whole duration. The holder continues only if the row still names its holding, and
 * with a new number.
 */
export class Lease {
    private holding: Holding | undefined;
    private observation: Observation | undefined;
    private readonly scope: TaskScope;
    private readonly durationMs: number;
    private readonly takeoverDelayMs: number;
    private readonly lateArrivalMs: number;
    private readonly store: LeaseRowStore;
    private readonly pending: PendingCalls;
    private readonly renewals = new CoalescedRuns(() => this.renew());

    constructor(private readonly options: LeaseOptions) {
        this.durationMs = options.durationMs ?? 6_000;
        this.takeoverDelayMs = options.takeoverDelayMs ?? 2_000;
        this.lateArrivalMs = options.lateArrivalMs ?? maxTravelMs + this.takeoverDelayMs * confirmationShare;
        this.store = new LeaseRowStore(options);
        this.pending = new PendingCalls({ clock: options.clock, lateArrivalMs: this.lateArrivalMs });
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run(`lease-${this.options.duty}`, signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
        this.holding = undefined;
    }

    /**
     * Returns the lease if this node may act under it now.
     *
     * @returns fencing number and remaining time; undefined if the lease is not held or not active yet
     */
    readHeld(): HeldLease | undefined {
        const holding = this.holding;
        if (!holding) {
            return undefined;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        const monotonicAgeMs = nowMs - holding.renewedAtMs;
        const wallAgeMs = this.options.clock.readWallMs() - holding.renewedAtWallMs;
        const remainingMs = this.durationMs * (1 - safetyMarginShare) - Math.max(monotonicAgeMs, wallAgeMs);
        if (remainingMs <= 0) {
            this.dropHolding("the lease expired before it was renewed");
            return undefined;
        }
        return nowMs < holding.activeFromMs || holding.era !== this.readEra()
            ? undefined
            : { fencing: holding.fencing, remainingMs, monotonicAgeMs, wallAgeMs };
    }

    /** Whether this node holds the lease, even if it may not act yet, as after a restore of the store. */
    isHolder(): boolean {
        this.readHeld();
        return this.holding !== undefined;
    }

    /**
     * Returns the lease if it remains valid for the duration of a call that starts now.
     *
     * @param callMs - duration of the call, in milliseconds
     * @param target - what the call is about; a call on it waits while calls of former holders may arrive
     */
    readHeldFor(callMs: number, target?: DutyTarget): HeldLease | undefined {
        const held = this.readHeld();
        if (!held || held.remainingMs <= callMs) {
            return undefined;
        }
        return target && this.pending.computeWaitMs(target) > 0 ? undefined : held;
    }

    /**
     * Records in the row that a call is under way, which also confirms that the row still names the holding that this node
     * acts under. Unlike the clocks, the store knows of a next holder also after a suspension that no clock shows. The
     * record stays until {@link endCall}, or its time after {@link abortCall}.
     *
     * @returns time since the confirming write began; undefined if the lease is no longer held
     * @throws StoreError if the store does not tell
     */
    async beginCall(target: DutyTarget): Promise<ElapsedTime | undefined> {
        this.pending.begin(target);
        return await this.renewals.run() ?? this.renewals.run();
    }

    /**
     * Gives up a call that was written and has no answer. Its record stays for as long as it may still be carried out.
     *
     * @param target - the call
     * @param writtenAtMs - when it was written, by the monotonic clock
     */
    abortCall(target: DutyTarget, writtenAtMs: number): void {
        this.pending.abort(target, writtenAtMs);
    }

    /** Ends a call that was answered or was never written, and clears its record. */
    async endCall(target: DutyTarget): Promise<void> {
        this.pending.end(target);
        await this.options.clock.sleep(clearDelayMs);
        try {
            if (this.pending.isRecordOutdated()) {
                await this.renewals.run();
            }
        }
        catch {
            // The next renewal clears it.
        }
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            try {
                yield* this.renewOrAcquire();
            }
            catch {
                // The table service is unavailable; a held lease expires on its own.
            }
            yield* waitFor(this.options.clock.sleep(this.durationMs / renewalsPerDuration, signal));
        }
    }

    private *renewOrAcquire(): Task<void> {
        if (this.isHolder()) {
            yield* waitFor(this.renewals.run());
        }
        else if (this.options.isCandidate()) {
            yield* this.tryAcquire();
        }
    }

    private readEra(): number {
        return this.readStatedEra() ?? 0;
    }

    private readStatedEra(): number | undefined {
        return this.options.storeEra?.current.value;
    }

    /**
     * Adopts the row's revision after a restore of the store, with a higher number, as the store may have lost another
     * holding; returns undefined if the row names one.
     */
    private async recoverHolding(holding: Holding): Promise<Holding | undefined> {
        const row = await this.store.read();
        const era = this.readEra();
        const found = row?.value as LeaseRow | undefined;
        if (!row || found?.holdingId !== holding.holdingId) {
            return undefined;
        }
        const fencing = computeNextFencing(row, era);
        return { ...holding, revision: row.revision, era, fencing, activeFromMs: Infinity };
    }

    /**
     * Writes the row anew, with the calls that are under way.
     *
     * @returns time since the write began; undefined if the row does not have it
     */
    private async renew(): Promise<ElapsedTime | undefined> {
        const previous = this.isHolder() ? this.holding : undefined;
        if (!previous || previous.era === this.readEra()) {
            return previous && this.writeRenewal(previous);
        }
        const holding = await this.recoverHolding(previous);
        if (this.holding !== previous) {
            return undefined;
        }
        if (!holding) {
            this.dropHolding("the store was restored from an older copy, and its row names another holding");
            return undefined;
        }
        this.holding = holding;
        this.pending.adopt({ [anySubject]: this.lateArrivalMs }, this.options.clock.readMonotonicMs());
        this.reportWaits();
        return this.writeRenewal(holding);
    }

    private async writeRenewal(holding: Holding): Promise<ElapsedTime | undefined> {
        const { clock } = this.options;
        const sinceStart = new ElapsedTime(clock);
        const next = {
            ...holding,
            renewals: holding.renewals + 1,
            renewedAtMs: clock.readMonotonicMs(),
            renewedAtWallMs: clock.readWallMs(),
        };
        const written = await this.writeRow(next, holding.revision);
        if (this.holding !== holding || this.readEra() !== holding.era) {
            return undefined; // after a restore of the store, the next renewal reads the row first
        }
        if (!written) {
            this.dropHolding("the renewal failed: the lease row no longer belongs to this holding");
            return undefined;
        }
        const { revision, isThisWrite } = written;
        this.holding = isThisWrite ? this.delayCalls({ ...next, revision }) : { ...holding, revision };
        return isThisWrite ? sinceStart : undefined;
    }

    /** Lets a holding that has a new number act once the calls of the holder before have arrived. */
    private delayCalls(holding: Holding): Holding {
        return Number.isFinite(holding.activeFromMs)
            ? holding
            : { ...holding, activeFromMs: this.options.clock.readMonotonicMs() + this.takeoverDelayMs };
    }

    private *tryAcquire(): Task<void> {
        const found = yield* waitFor(this.store.read());
        const nowMs = this.options.clock.readMonotonicMs();
        const era = this.readEra();
        if (!this.hasBeenUnchanged(found, era, nowMs)) {
            return;
        }
        const row = found ?? (yield* waitFor(this.createRow()));
        if (!row || this.readEra() !== era) {
            return;
        }
        const next: Holding = {
            holdingId: `${this.options.nodeId}:${this.options.random.drawId(8)}`,
            fencing: computeNextFencing(row, era),
            revision: 0,
            era,
            renewals: 0,
            renewedAtMs: nowMs,
            renewedAtWallMs: this.options.clock.readWallMs(),
            activeFromMs: Infinity,
        };
        const waits = decodePendingWaits(row, {
            era: this.readStatedEra(),
            lateArrivalMs: this.lateArrivalMs,
        });
        this.pending.adopt(waits, this.observation?.firstSeenMs ?? nowMs);
        const written = yield* waitFor(this.writeRow(next, row.revision));
        if (written && this.readEra() === era) {
            this.holding = this.delayCalls({ ...next, revision: written.revision });
            this.options.events.emit(eventKinds.leaseAcquired, {
                duty: this.options.duty,
                fencing: next.fencing,
            });
            this.reportWaits();
        }
    }

    /** Creates the row without a holder; returns undefined if another node was faster. */
    private createRow(): Promise<Row | undefined> {
        const era = this.readStatedEra();
        return this.store.create({
            holder: "",
            holdingId: "",
            fencing: 0,
            durationMs: this.durationMs,
            renewals: 0,
            lateCalls: era === undefined ? {} : { [anySubject]: this.lateArrivalMs },
            era,
        });
    }

    /**
     * Whether the row has been observed unchanged for the whole duration. The same is required of its absence if the
     * store states eras, as such a store may have lost the row.
     */
    private hasBeenUnchanged(row: Row | undefined, era: number, nowMs: number): boolean {
        if (!row && this.options.storeEra?.current.value === undefined) {
            return true;
        }
        const revision = row?.revision ?? absentRevision;
        if (this.observation?.revision !== revision || this.observation.era !== era) {
            this.observation = { revision, era, firstSeenMs: nowMs };
            return false;
        }
        return nowMs - this.observation.firstSeenMs >= this.durationMs;
    }

    private writeRow(next: Holding, revision: number): Promise<WrittenRow | undefined> {
        const value: LeaseRow = {
            holder: this.options.nodeId,
            holdingId: next.holdingId,
            fencing: next.fencing,
            durationMs: this.durationMs,
            renewals: next.renewals,
            lateCalls: this.pending.listForRecord(),
            era: this.readStatedEra(),
        };
        return this.store.write(value, revision);
    }

    /** Logs which calls wait for those of former holders. */
    private reportWaits(): void {
        for (const { duty, subject, waitMs } of this.pending.describeWaits()) {
            this.options.events.emit(eventKinds.dutyDelayed, { duty, subject, waitMs });
        }
    }

    private dropHolding(reason: string): void {
        this.holding = undefined;
        this.observation = undefined;
        this.options.events.emit(eventKinds.leaseLost, { duty: this.options.duty, reason });
    }
}
