import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Row, RowCondition, TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { HeldLease, LeaseRow } from "./types";

/** Options of {@link Lease}. */
export interface LeaseOptions {
    /** The duty that one node at a time has. */
    readonly duty: string;
    readonly nodeId: string;
    readonly tables: TableService;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    /** Whether this node should try to hold the duty now; a few members do. */
    readonly isCandidate: () => boolean;
    /** Time for which a renewal counts; default 6,000 ms. */
    readonly durationMs?: number;
    /** Time after a takeover in which orders of the last holder may still arrive; default 2,000 ms. */
    readonly takeoverDelayMs?: number;
}

interface Holding {
    readonly holdingId: string;
    readonly fencing: number;
    readonly revision: number;
    readonly renewals: number;
    /** Monotonic time at which the write that got or renewed the lease was begun. */
    readonly sinceMs: number;
    /** Wall-clock time at that moment, which counts suspensions of the VM. */
    readonly sinceWallMs: number;
    /** Monotonic time from which the holder may act. */
    readonly actFromMs: number;
}

interface Observation {
    readonly revision: number;
    /** Monotonic time at which this revision was first seen. */
    readonly sinceMs: number;
}

const table = "leases";
const renewalsPerDuration = 3;
const marginShare = 0.2; // of the duration; for clocks that run at slightly different rates

/**
 * A duty held by one node at a time through a row in the table service. No clocks are compared between nodes: a
 * candidate takes over only after it has itself seen the row unchanged for the whole duration, and the holder
 * counts from before the write. A holder that was paused finds by its clocks that the time is over; the monotonic one
 * stands still while the VM is suspended, so that the wall clock counts where it shows more. What it sent before
 * carries a fencing number.
 */
export class Lease {
    private holding: Holding | undefined;
    private observation: Observation | undefined;
    private readonly scope: TaskScope;
    private readonly durationMs: number;
    private readonly orderDeadlineMs: number;

    constructor(private readonly options: LeaseOptions) {
        this.durationMs = options.durationMs ?? 6_000;
        this.orderDeadlineMs = options.takeoverDelayMs ?? 2_000;
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run(`lease-${this.options.duty}`, signal => this.keep(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
        this.holding = undefined;
    }

    /**
     * The lease, when this node may act under it now.
     *
     * @returns fencing number and remaining time, or undefined
     */
    readHeld(): HeldLease | undefined {
        const holding = this.holding;
        if (!holding) {
            return undefined;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        const elapsedMs = Math.max(
            nowMs - holding.sinceMs,
            this.options.clock.readWallMs() - holding.sinceWallMs,
        );
        const remainingMs = this.durationMs * (1 - marginShare) - elapsedMs;
        if (remainingMs <= 0) {
            this.lose("its time is over");
            return undefined;
        }
        return nowMs < holding.actFromMs ? undefined : { fencing: holding.fencing, remainingMs };
    }

    /** The lease, when it still counts at the end of a call that is made now. */
    readHeldFor(callMs: number): HeldLease | undefined {
        const held = this.readHeld();
        return held && held.remainingMs > callMs ? held : undefined;
    }

    private *keep(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            try {
                yield* this.advance();
            }
            catch {
                // The table service is down; a held lease runs out by itself.
            }
            yield* waitFor(this.options.clock.sleep(this.durationMs / renewalsPerDuration, signal));
        }
    }

    private *advance(): Task<void> {
        this.readHeld();
        if (this.holding) {
            yield* this.renew(this.holding);
        }
        else if (this.options.isCandidate()) {
            yield* this.tryAcquire();
        }
    }

    private *renew(holding: Holding): Task<void> {
        const sinceMs = this.options.clock.readMonotonicMs();
        const sinceWallMs = this.options.clock.readWallMs();
        const next = { ...holding, renewals: holding.renewals + 1, sinceMs, sinceWallMs };
        const condition: RowCondition = { kind: "revision", revision: holding.revision };
        const revision = yield* this.write(next, condition);
        if (this.holding !== holding) {
            return;
        }
        if (revision === undefined) {
            this.lose("another node has it");
            return;
        }
        this.holding = { ...next, revision };
    }

    private *tryAcquire(): Task<void> {
        const row = yield* waitFor(this.read());
        const nowMs = this.options.clock.readMonotonicMs();
        if (row && this.observation?.revision !== row.revision) {
            this.observation = { revision: row.revision, sinceMs: nowMs };
            return;
        }
        if (row && nowMs - this.observation!.sinceMs < this.durationMs) {
            return;
        }
        const before = row?.value as LeaseRow | undefined;
        const next: Holding = {
            holdingId: `${this.options.nodeId}:${this.options.random.drawId(8)}`,
            fencing: (before?.fencing ?? 0) + 1,
            revision: 0,
            renewals: 0,
            sinceMs: nowMs,
            sinceWallMs: this.options.clock.readWallMs(),
            actFromMs: nowMs + this.orderDeadlineMs,
        };
        const condition: RowCondition = row
            ? { kind: "revision", revision: row.revision }
            : { kind: "absent" };
        const revision = yield* this.write(next, condition);
        if (revision !== undefined) {
            this.holding = { ...next, revision };
            this.options.events.emit(eventKinds.leaseAcquired, {
                duty: this.options.duty,
                fencing: next.fencing,
            });
        }
    }

    /** Writes the row; a lost answer is settled by reading the holding back. */
    private *write(next: Holding, condition: RowCondition): Task<number | undefined> {
        const value: LeaseRow = {
            holder: this.options.nodeId,
            holdingId: next.holdingId,
            fencing: next.fencing,
            durationMs: this.durationMs,
            renewals: next.renewals,
        };
        try {
            const outcome = yield* waitFor(
                this.options.tables.transact([{ table, key: this.options.duty, condition, value }]),
            );
            if (outcome.kind === "committed") {
                return outcome.revisions[0];
            }
        }
        catch {
            // The write may have taken effect.
        }
        const row = yield* waitFor(this.read());
        const found = row?.value as LeaseRow | undefined;
        const isOwn = found?.holdingId === next.holdingId && found.renewals === next.renewals;
        return isOwn ? row!.revision : undefined;
    }

    private async read(): Promise<Row | undefined> {
        const [row] = await this.options.tables.read([{ table, key: this.options.duty }]);
        return row;
    }

    private lose(reason: string): void {
        this.holding = undefined;
        this.observation = undefined;
        this.options.events.emit(eventKinds.leaseLost, { duty: this.options.duty, reason });
    }
}
