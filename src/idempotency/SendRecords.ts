import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Row, RowCondition, TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
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
    /** Tries to settle a write whose answer was lost; default 3. */
    readonly maxWriteAttempts?: number;
    /** First pause between those tries, doubled each time; default 50 ms. */
    readonly writeBackoffMs?: number;
    /** Pause between rounds of repair; default 1,000 ms. */
    readonly repairIntervalMs?: number;
}

/** Outcome of a claim. */
export type ClaimOutcome =
    | { readonly kind: "claimed"; readonly permit: SendPermit; }
    | { readonly kind: "exists"; readonly record: SendRecord; }
    | { readonly kind: "store-failed"; };

/** A record to be marked not run once the store answers. */
interface Repair {
    readonly key: string;
    readonly attemptId: string;
    /** The write may still take effect until this monotonic time, in milliseconds. */
    readonly untilMs: number;
}

const table = "sends";
const maxRepairs = 10_000;
const lateWriteMs = 120_000; // a lost write may take effect this late

/** Records in the table service that let each non-idempotent call be sent at most once. */
export class SendRecords {
    private readonly scope: TaskScope;
    private repairs: Repair[] = [];

    constructor(private readonly options: SendRecordsOptions) {
        this.scope = createReportingScope(options.events);
    }

    /** Number of records waiting to be marked not run. */
    get pendingRepairs(): number {
        return this.repairs.length;
    }

    async start(): Promise<void> {
        this.scope.run("send-record-repair", signal => this.repairLoop(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Tries to get the right to send a call. A lost answer is settled by reading the attempt id back.
     *
     * @param key - the record's key
     * @param digest - SHA-256 of the call
     * @returns the right, the record found there, or that the store cannot tell
     */
    *claim(key: string, digest: string): Task<ClaimOutcome> {
        const attemptId = `${this.options.nodeId}:${this.options.random.drawId(8)}`;
        let condition: RowCondition = { kind: "absent" };
        const attempts = this.options.maxWriteAttempts ?? 3;
        let mayExist = false;
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            const outcome = yield* waitFor(
                this.write(key, { state: "sending", attemptId, digest }, condition),
            );
            if (outcome.kind === "committed") {
                return this.grant(key, attemptId, outcome.revision);
            }
            if (outcome.kind === "failed") {
                mayExist = mayExist || outcome.error.effect === "unknown";
            }
            const found = yield* waitFor(this.readBack(key));
            if (found.kind === "row") {
                const record = found.row.value as SendRecord;
                if (record.attemptId === attemptId) {
                    return this.grant(key, attemptId, found.row.revision);
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
     * Marks a record not run. Only the attempt that holds its right, and has not sent, may do so.
     *
     * @returns whether the store confirmed it; when not, it is repaired in the background
     */
    *release(right: SendPermit): Task<boolean> {
        right.release();
        const done = yield* waitFor(this.markNotRun(right.key, right.attemptId));
        if (done === "open") {
            this.scheduleRepair(right.key, right.attemptId);
        }
        this.options.events.emit(eventKinds.callReleased, { key: right.key, confirmed: done !== "open" });
        return done !== "open";
    }

    /**
     * Records the answer of a sent call.
     *
     * @returns whether the store confirmed it
     */
    *recordAnswer(right: SendPermit, digest: string, answer: RecordedAnswer): Task<boolean> {
        const value = { state: "done" as const, attemptId: right.attemptId, digest, answer };
        const recorded = yield* this.finish(right, value);
        this.options.events.emit(eventKinds.callRecorded, { key: right.key, confirmed: recorded });
        return recorded;
    }

    /** Records that a call was sent and that its outcome is not known. */
    *recordUnknown(right: SendPermit, digest: string): Task<boolean> {
        return yield* this.finish(right, { state: "unknown", attemptId: right.attemptId, digest });
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

    private *finish(right: SendPermit, value: Omit<SendRecord, "nodeId" | "atMs">): Task<boolean> {
        const condition: RowCondition = { kind: "revision", revision: right.revision };
        const attempts = this.options.maxWriteAttempts ?? 3;
        for (let attempt = 0; attempt < attempts; attempt += 1) {
            const outcome = yield* waitFor(this.write(right.key, value, condition));
            if (outcome.kind === "committed") {
                return true;
            }
            const found = yield* waitFor(this.readBack(right.key));
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

    private grant(key: string, attemptId: string, revision: number): ClaimOutcome {
        return { kind: "claimed", permit: new SendPermit(key, attemptId, revision, this.options.invariants) };
    }

    private write(
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

    private async readBack(
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
            const untilMs = this.options.clock.readMonotonicMs() + lateWriteMs;
            this.repairs.push({ key, attemptId, untilMs });
        }
    }

    private *repairLoop(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.repairIntervalMs ?? 1_000, signal));
            const open = this.repairs;
            this.repairs = [];
            for (const repair of open) {
                const result = yield* waitFor(this.markNotRun(repair.key, repair.attemptId));
                const mayAppear = result === "absent"
                    && this.options.clock.readMonotonicMs() < repair.untilMs;
                if (result === "open" || mayAppear) {
                    this.repairs.push(repair);
                }
            }
        }
    }

    /** Marks this attempt's record not run, if it is there. */
    private async markNotRun(key: string, attemptId: string): Promise<"marked" | "absent" | "open"> {
        const found = await this.readBack(key);
        if (found.kind !== "row") {
            return found.kind === "absent" ? "absent" : "open";
        }
        const record = found.row.value as SendRecord;
        if (record.attemptId !== attemptId || record.state !== "sending") {
            return "marked";
        }
        const condition: RowCondition = { kind: "revision", revision: found.row.revision };
        const outcome = await this.write(key, { ...record, state: "not-run" }, condition);
        return outcome.kind === "committed" ? "marked" : "open";
    }
}

/** Name of the send records service. */
export const sendRecordsName = createServiceName<SendRecords>("send-records");
