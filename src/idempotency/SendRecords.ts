import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Row, RowCondition, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Invariants } from "../telemetry/Invariants";
import type { GroupCommitter } from "./GroupCommitter";
import { SendPermit } from "./SendPermit";
import type { RecordedAnswer, SendRecord } from "./types";

/** Options of {@link SendRecords}. */
export interface SendRecordsOptions {
    readonly nodeId: string;
    readonly tables: TableService;
    readonly committer: GroupCommitter;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly invariants: Invariants;
    /** Maximum attempts to write a record and learn the outcome of the write; default 3. */
    readonly maxWriteAttempts?: number;
    /** Back-off before the second attempt, doubled for each further one; default 50 ms. */
    readonly writeBackoffMs?: number;
    /** Interval between rounds of repair; default 1,000 ms. */
    readonly repairIntervalMs?: number;
}

/** Outcome of {@link SendRecords.claim}. */
export type ClaimOutcome =
    | { readonly kind: "claimed"; readonly permit: SendPermit; }
    | { readonly kind: "exists"; readonly record: SendRecord; }
    | { readonly kind: "store-failed"; };

/** A record that is to be marked `not-run` as soon as the store answers. */
interface Repair {
    readonly key: string;
    readonly attemptId: string;
    /** Monotonic time until which the lost write may still take effect, in milliseconds. */
    readonly deadlineMs: number;
}

const table = "sends";
const maxRepairs = 10_000;
const maxWriteDelayMs = 120_000; // a write whose answer was lost may still take effect within this time

/**
 * Keeps one record in the table service for each non-idempotent call. A call is sent only by the attempt that
 * created its record, or replaced a `not-run` one, and therefore at most once.
 */
export class SendRecords {
    private readonly scope: TaskScope;
    private repairs: Repair[] = [];

    constructor(private readonly options: SendRecordsOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    /** Number of records waiting to be marked not run. */
    get pendingRepairs(): number {
        return this.repairs.length;
    }

    async start(): Promise<void> {
        this.scope.run("send-record-repair", signal => this.runRepairs(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Tries to obtain the permit to send a call by creating its record. When the answer to the write is lost,
     * the record is read back; its attempt id tells whether the write took effect.
     *
     * @param key - the record's key
     * @param digest - SHA-256 of the call
     * @returns the permit, the record of an earlier attempt, or `store-failed` if the outcome stayed unclear
     */
    *claim(key: string, digest: string): Task<ClaimOutcome> {
        const attemptId = `${this.options.nodeId}:${this.options.random.drawId(8)}`;
        let condition: RowCondition = { kind: "absent" };
        const attempts = this.options.maxWriteAttempts ?? 3;
        let mayExist = false;
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            const outcome = yield* waitFor(
                this.writeRecord(key, { state: "sending", attemptId, digest }, condition),
            );
            if (outcome.kind === "committed") {
                return this.createClaim(key, attemptId, outcome.revision);
            }
            if (outcome.kind === "failed") {
                mayExist = mayExist || outcome.error.effect === "unknown";
            }
            const found = yield* waitFor(this.readRow(key));
            if (found.kind === "row") {
                const record = found.row.value as SendRecord;
                if (record.attemptId === attemptId) {
                    return this.createClaim(key, attemptId, found.row.revision);
                }
                if (record.digest !== digest || record.state !== "not-run") {
                    return { kind: "exists", record };
                }
                condition = { kind: "revision", revision: found.row.revision };
                continue;
            }
            if (found.kind === "absent") {
                condition = { kind: "absent" };
            }
            const pauseMs = (this.options.writeBackoffMs ?? 50) * 2 ** attempt;
            yield* waitFor(this.options.clock.sleep(pauseMs));
        }
        if (mayExist) {
            this.scheduleRepair(key, attemptId);
        }
        return { kind: "store-failed" };
    }

    /**
     * Marks a record `not-run`. Only the attempt that holds the permit and has not sent the call may do so.
     *
     * @returns whether the store confirmed it; if not, the record is repaired in the background
     * @throws FailureError when the call was sent or the permit was released before
     */
    *release(permit: SendPermit): Task<boolean> {
        permit.release();
        const result = yield* waitFor(this.markNotRun(permit.key, permit.attemptId));
        if (result === "open") {
            this.scheduleRepair(permit.key, permit.attemptId);
        }
        this.options.events.emit(eventKinds.callReleased, { key: permit.key, confirmed: result !== "open" });
        return result !== "open";
    }

    /**
     * Records the answer to a call that was sent.
     *
     * @returns whether the store confirmed it
     */
    *recordAnswer(permit: SendPermit, digest: string, answer: RecordedAnswer): Task<boolean> {
        const value = { state: "done" as const, attemptId: permit.attemptId, digest, answer };
        const recorded = yield* this.recordOutcome(permit, value);
        this.options.events.emit(eventKinds.callRecorded, { key: permit.key, confirmed: recorded });
        return recorded;
    }

    /** Records that a call was sent and that its outcome is unknown. */
    *recordUnknown(permit: SendPermit, digest: string): Task<boolean> {
        return yield* this.recordOutcome(permit, { state: "unknown", attemptId: permit.attemptId, digest });
    }

    /**
     * Reads a record.
     *
     * @throws StoreError when the store does not answer
     */
    async read(key: string): Promise<SendRecord | undefined> {
        const [row] = await this.options.tables.read([{ table, key }]);
        return row?.value as SendRecord | undefined;
    }

    private *recordOutcome(permit: SendPermit, value: Omit<SendRecord, "nodeId" | "atMs">): Task<boolean> {
        const condition: RowCondition = { kind: "revision", revision: permit.revision };
        const attempts = this.options.maxWriteAttempts ?? 3;
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            const outcome = yield* waitFor(this.writeRecord(permit.key, value, condition));
            if (outcome.kind === "committed") {
                return true;
            }
            const found = yield* waitFor(this.readRow(permit.key));
            if (found.kind === "row" && (found.row.value as SendRecord).state === value.state) {
                return true;
            }
            if (outcome.kind === "conflict") {
                return false;
            }
            yield* waitFor(this.options.clock.sleep((this.options.writeBackoffMs ?? 50) * 2 ** attempt));
        }
        return false;
    }

    private createClaim(key: string, attemptId: string, revision: number): ClaimOutcome {
        return { kind: "claimed", permit: new SendPermit(key, attemptId, revision, this.options.invariants) };
    }

    private writeRecord(
        key: string,
        value: Omit<SendRecord, "nodeId" | "atMs">,
        condition: RowCondition,
    ): ReturnType<GroupCommitter["write"]> {
        const record: SendRecord = {
            ...value,
            nodeId: this.options.nodeId,
            atMs: this.options.clock.readWallMs(),
        };
        return this.options.committer.write({ table, key, condition, value: record });
    }

    private async readRow(
        key: string,
    ): Promise<{ readonly kind: "row"; readonly row: Row; } | { readonly kind: "absent" | "failed"; }> {
        try {
            const [row] = await this.options.tables.read([{ table, key }]);
            return row ? { kind: "row", row } : { kind: "absent" };
        }
        catch {
            return { kind: "failed" };
        }
    }

    private scheduleRepair(key: string, attemptId: string): void {
        if (this.repairs.length < maxRepairs) {
            const deadlineMs = this.options.clock.readMonotonicMs() + maxWriteDelayMs;
            this.repairs.push({ key, attemptId, deadlineMs });
        }
    }

    private *runRepairs(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.repairIntervalMs ?? 1_000, signal));
            const pending = this.repairs;
            this.repairs = [];
            for (const repair of pending) {
                const result = yield* waitFor(this.markNotRun(repair.key, repair.attemptId));
                const mayStillAppear = result === "absent"
                    && this.options.clock.readMonotonicMs() < repair.deadlineMs;
                if (result === "open" || mayStillAppear) {
                    this.repairs.push(repair);
                }
            }
        }
    }

    /** Marks this attempt's record `not-run`, if it exists; `open` means that the store did not confirm. */
    private async markNotRun(key: string, attemptId: string): Promise<"marked" | "absent" | "open"> {
        const found = await this.readRow(key);
        if (found.kind !== "row") {
            return found.kind === "absent" ? "absent" : "open";
        }
        const record = found.row.value as SendRecord;
        if (record.attemptId !== attemptId || record.state !== "sending") {
            return "marked";
        }
        const condition: RowCondition = { kind: "revision", revision: found.row.revision };
        const outcome = await this.writeRecord(key, { ...record, state: "not-run" }, condition);
        return outcome.kind === "committed" ? "marked" : "open";
    }
}

/** Name of the send records service. */
export const sendRecordsName = createServiceName<SendRecords>("send-records");
