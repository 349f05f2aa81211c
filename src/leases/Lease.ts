import type { TaskScope } from "../kernel/TaskScope";
import type { StoreEra } from "../feeds/StoreEra";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Row, RowCondition, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeNextFencing } from "./computeNextFencing";
import type { HeldLease, LeaseRow } from "./types";

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

/** The row after a write that this node tried. */
interface WrittenRow {
    readonly revision: number;
    /** Whether the row has this write, or an earlier one of the same holding. */
    readonly isThisWrite: boolean;
}

interface Observation {
    readonly revision: number;
    readonly era: number;
    /** Monotonic time at which this revision was first seen. */
    readonly firstSeenMs: number;
}

const table = "leases";
const absentRevision = 0;
const renewalsPerDuration = 3;
const writeIdBytes = 4;
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

    constructor(private readonly options: LeaseOptions) {
        this.durationMs = options.durationMs ?? 6_000;
        this.takeoverDelayMs = options.takeoverDelayMs ?? 2_000;
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

    /** Returns the lease if it remains valid for the duration of a call that starts now, in milliseconds. */
    readHeldFor(callMs: number): HeldLease | undefined {
        const held = this.readHeld();
        return held && held.remainingMs > callMs ? held : undefined;
    }

    /**
     * Reads the row and tells whether it still names the holding that this node acts under. Unlike the clocks, the store
     * knows of a next holder also after a suspension that no clock shows.
     *
     * @throws StoreError if the store cannot be read
     */
    async confirmHeld(): Promise<boolean> {
        const { holding } = this;
        const row = await this.readRow();
        const found = row?.value as LeaseRow | undefined;
        if (!holding || this.holding?.holdingId !== holding.holdingId || holding.era !== this.readEra()) {
            return false;
        }
        if (found?.holdingId !== holding.holdingId) {
            this.dropHolding("the lease row names another holding");
            return false;
        }
        return true;
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
        this.readHeld();
        if (this.holding) {
            yield* this.renew(this.holding);
        }
        else if (this.options.isCandidate()) {
            yield* this.tryAcquire();
        }
    }

    private readEra(): number {
        return this.options.storeEra?.current.value ?? 0;
    }

    /**
     * Adopts the row's revision after a restore of the store, with a higher number, as the store may have lost another
     * holding; returns undefined if the row names one.
     */
    private *recoverHolding(holding: Holding): Task<Holding | undefined> {
        const row = yield* waitFor(this.readRow());
        const era = this.readEra();
        const found = row?.value as LeaseRow | undefined;
        if (!row || found?.holdingId !== holding.holdingId) {
            return undefined;
        }
        const fencing = computeNextFencing(row, era);
        return { ...holding, revision: row.revision, era, fencing, activeFromMs: Infinity };
    }

    private *renew(previous: Holding): Task<void> {
        const holding = previous.era === this.readEra() ? previous : yield* this.recoverHolding(previous);
        if (this.holding !== previous) {
            return;
        }
        if (!holding) {
            this.dropHolding("the store was restored from an older copy, and its row names another holding");
            return;
        }
        this.holding = holding;
        const renewedAtMs = this.options.clock.readMonotonicMs();
        const renewedAtWallMs = this.options.clock.readWallMs();
        const next = { ...holding, renewals: holding.renewals + 1, renewedAtMs, renewedAtWallMs };
        const condition: RowCondition = { kind: "revision", revision: holding.revision };
        const written = yield* this.writeRow(next, condition);
        if (this.holding !== holding || this.readEra() !== holding.era) {
            return; // after a restore of the store, the next renewal reads the row first
        }
        if (!written) {
            this.dropHolding("the renewal failed: the lease row no longer belongs to this holding");
            return;
        }
        this.holding = written.isThisWrite
            ? this.delayCalls({ ...next, revision: written.revision })
            : { ...holding, revision: written.revision };
    }

    /** Lets a holding that has a new number act once the calls of the holder before have arrived. */
    private delayCalls(holding: Holding): Holding {
        return Number.isFinite(holding.activeFromMs)
            ? holding
            : { ...holding, activeFromMs: this.options.clock.readMonotonicMs() + this.takeoverDelayMs };
    }

    private *tryAcquire(): Task<void> {
        const found = yield* waitFor(this.readRow());
        const nowMs = this.options.clock.readMonotonicMs();
        const era = this.readEra();
        if (!this.hasBeenUnchanged(found, era, nowMs)) {
            return;
        }
        const row = found ?? (yield* this.createRow());
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
        const condition: RowCondition = { kind: "revision", revision: row.revision };
        const written = yield* this.writeRow(next, condition);
        if (written && this.readEra() === era) {
            this.holding = this.delayCalls({ ...next, revision: written.revision });
            this.options.events.emit(eventKinds.leaseAcquired, {
                duty: this.options.duty,
                fencing: next.fencing,
            });
        }
    }

    /** Creates the row without a holder, for its revision; returns undefined if another node was faster. */
    private *createRow(): Task<Row | undefined> {
        const { duty: key, tables } = this.options;
        const value: LeaseRow = {
            holder: "",
            holdingId: "",
            fencing: 0,
            durationMs: this.durationMs,
            renewals: 0,
        };
        const outcome = yield* waitFor(
            tables.transact([{ table, key, condition: { kind: "absent" }, value }]),
        );
        return outcome.kind === "committed" ? { key, revision: outcome.revisions[0], value } : undefined;
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

    /** Writes the row. After a lost answer, reads it; returns undefined if the row names another holding. */
    private *writeRow(next: Holding, condition: RowCondition): Task<WrittenRow | undefined> {
        const writeId = this.options.random.drawId(writeIdBytes);
        const value: LeaseRow = {
            holder: this.options.nodeId,
            holdingId: next.holdingId,
            fencing: next.fencing,
            durationMs: this.durationMs,
            renewals: next.renewals,
            writeId,
        };
        try {
            const outcome = yield* waitFor(
                this.options.tables.transact([{ table, key: this.options.duty, condition, value }]),
            );
            if (outcome.kind === "committed") {
                return { revision: outcome.revisions[0], isThisWrite: true };
            }
        }
        catch {
            // The write may have taken effect.
        }
        const row = yield* waitFor(this.readRow());
        const found = row?.value as LeaseRow | undefined;
        return found?.holdingId === next.holdingId
            ? { revision: row!.revision, isThisWrite: found.writeId === writeId }
            : undefined;
    }

    private async readRow(): Promise<Row | undefined> {
        const [row] = await this.options.tables.read([{ table, key: this.options.duty }]);
        return row;
    }

    private dropHolding(reason: string): void {
        this.holding = undefined;
        this.observation = undefined;
        this.options.events.emit(eventKinds.leaseLost, { duty: this.options.duty, reason });
    }
}
