import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { GroupCommitter, WriteOutcome } from "../idempotency/GroupCommitter";
import type { Row, RowAddress, RowCondition, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { decodeEvents } from "./decodeEvents";
import type { RequestSnapshot } from "./RequestSnapshot";
import type { RequestRecord } from "./RequestRecord";

/** Options of {@link KeptRequests}. */
export interface KeptRequestsOptions {
    readonly nodeId: string;
    readonly tables: TableService;
    readonly committer: GroupCommitter;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Ids of the members that are live or leaving; open requests of other owners become orphans. */
    readonly listPresentMembers: () => readonly string[];
    /** Whether this node now scans for orphaned requests; a few nodes do, in rotation. */
    readonly isPoller: () => boolean;
    /** Continues a request on this node; false when the node already has it. */
    readonly takeOver: (snapshot: RequestSnapshot) => boolean;
    /** Interval between scans for orphaned requests; default 2,000 ms. */
    readonly scanIntervalMs?: number;
    /** A request is orphaned when its owner has been neither live nor leaving for this long; default 3,000 ms. */
    readonly orphanTimeoutMs?: number;
}

/** Row of a kept request. */
export interface KeptRow {
    readonly state: "open" | "answered" | "failed" | "cancelled";
    readonly owner: string;
    readonly accountId: string;
    /** Snapshot of the request, with its events in Base64; present while it is open. */
    readonly bundle?: Omit<RequestSnapshot, "events"> & { readonly events: string; };
    /** Text of the answer; present when answered. */
    readonly text?: string;
    readonly finishReason?: string;
    readonly message?: string;
    readonly atMs: number;
}

/** Outcome of storing a request. */
export type StoreResult = "stored" | "not-stored" | "unknown";

/** One row of a request that is stored, with what is known of it so far. */
interface FirstWrite {
    readonly address: RowAddress;
    readonly value: unknown;
    condition: RowCondition;
    result: StoreResult;
    readonly isOwn: (value: unknown) => boolean;
}

const table = "kept-requests";
const openIndexTable = "kept-open";
const scanLimit = 200;
const writeAttempts = 5;
const firstBackoffMs = 100;

/**
 * Stores the requests of `kept-from-acceptance` classes. Each request has one row, which holds its snapshot
 * while it is open and its answer afterwards. While a request is open, an index row lists it and its owner;
 * other nodes use the index to find and take over the requests of a failed node.
 */
export class KeptRequests {
    private readonly scope: TaskScope;
    private readonly ownerMissingSinceMs = new Map<string, number>();

    constructor(private readonly options: KeptRequestsOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("kept-requests-scan", signal => this.scanOrphans(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Stores a request before it is accepted.
     *
     * @returns `stored`, `not-stored`, or `unknown` when a write may have taken effect or still may
     */
    async store(snapshot: RequestSnapshot): Promise<StoreResult> {
        const { id } = snapshot;
        const { nodeId: owner } = this.options;
        const row = this.toOpenRow(snapshot);
        const writes: FirstWrite[] = [
            {
                address: { table: openIndexTable, key: id },
                value: { owner },
                condition: { kind: "absent" },
                result: "not-stored",
                isOwn: value => (value as { owner: string; }).owner === owner,
            },
            {
                address: { table, key: id },
                value: row,
                condition: { kind: "absent" },
                result: "not-stored",
                isOwn: value => isSameOpenRow(value as KeptRow, row),
            },
        ];
        for (let attempt = 0; attempt < writeAttempts; attempt += 1) {
            const open = writes.filter(({ result }) => result !== "stored");
            await Promise.all(open.map(write => this.tryFirstWrite(write)));
            if (writes.every(({ result }) => result === "stored")) {
                return "stored";
            }
            await this.options.clock.sleep(firstBackoffMs * 2 ** attempt);
        }
        return writes.every(({ result }) => result === "not-stored") ? "not-stored" : "unknown";
    }

    /**
     * Tries to write a row that is there for the first time, or replaces the row of an earlier request. The write is
     * conditional, as one without an answer may be carried out after the request has ended.
     */
    private async tryFirstWrite(write: FirstWrite): Promise<void> {
        const { address, value, condition } = write;
        const outcome = await this.options.committer.write({ ...address, condition, value });
        if (outcome.kind === "committed") {
            write.result = "stored";
        }
        else if (outcome.kind === "conflict") {
            await this.readConflict(write);
        }
        else if (outcome.error.effect === "unknown") {
            write.result = "unknown";
        }
    }

    /** Reads the row that a first write met: its own one, if an earlier attempt was carried out without an answer. */
    private async readConflict(write: FirstWrite): Promise<void> {
        try {
            const [row] = await this.options.tables.read([write.address]);
            if (row && write.result === "unknown" && write.isOwn(row.value)) {
                write.result = "stored";
            }
            write.condition = row ? { kind: "revision", revision: row.revision } : { kind: "absent" };
        }
        catch {
            // The next attempt meets the conflict again.
        }
    }

    /** Stores the final state of a request and its answer. Tries up to {@link writeAttempts} times. */
    async finish(record: RequestRecord): Promise<void> {
        const decoded = record.state === "answered" ? decodeEvents(record.log.read(0)) : undefined;
        const row: KeptRow = {
            state: record.state as "answered",
            owner: this.options.nodeId,
            accountId: record.description.accountId,
            text: decoded?.text,
            finishReason: decoded?.finishReason,
            message: record.failure?.message,
            atMs: this.options.clock.readWallMs(),
        };
        for (let attempt = 0; attempt < writeAttempts; attempt += 1) {
            const stored = await this.tryWrite(table, record.id, row);
            if (stored && await this.tryWrite(openIndexTable, record.id, undefined)) {
                return;
            }
            await this.options.clock.sleep(firstBackoffMs * 2 ** attempt);
        }
    }

    /**
     * Reads a kept request of an account.
     *
     * @throws StoreError when the store does not answer
     */
    async read(requestId: string, accountId: string): Promise<KeptRow | undefined> {
        const [row] = await this.options.tables.read([{ table, key: requestId }]);
        const keptRow = row?.value as KeptRow | undefined;
        return keptRow?.accountId === accountId ? keptRow : undefined;
    }

    private async tryWrite(name: string, key: string, value: unknown): Promise<boolean> {
        const outcome = await this.writeRow(name, key, value);
        return outcome.kind === "committed";
    }

    private writeRow(name: string, key: string, value: unknown): Promise<WriteOutcome> {
        return this.options.committer.write({ table: name, key, condition: { kind: "any" }, value });
    }

    private toOpenRow(snapshot: RequestSnapshot): KeptRow {
        return {
            state: "open",
            owner: this.options.nodeId,
            accountId: snapshot.accountId,
            bundle: { ...snapshot, events: Buffer.from(snapshot.events).toString("base64") },
            atMs: this.options.clock.readWallMs(),
        };
    }

    private *scanOrphans(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.scanIntervalMs ?? 2_000, signal));
            if (!this.options.isPoller()) {
                continue;
            }
            try {
                const rows = yield* waitFor(this.options.tables.list(openIndexTable, "", scanLimit));
                const orphans = this.findOrphans(rows);
                for (const row of orphans) {
                    yield* waitFor(this.takeOverOrphan(row));
                }
            }
            catch {
                // The table service does not answer; the next round scans again.
            }
        }
    }

    private findOrphans(rows: readonly Row[]): Row[] {
        const presentMembers = new Set(this.options.listPresentMembers());
        const nowMs = this.options.clock.readMonotonicMs();
        const owners = new Set(rows.map(row => (row.value as { owner: string; }).owner));
        for (const owner of this.ownerMissingSinceMs.keys()) {
            if (presentMembers.has(owner) || !owners.has(owner)) {
                this.ownerMissingSinceMs.delete(owner);
            }
        }
        return rows.filter(row => {
            const { owner } = row.value as { owner: string; };
            if (presentMembers.has(owner)) {
                return false;
            }
            const sinceMs = this.ownerMissingSinceMs.get(owner) ?? nowMs;
            this.ownerMissingSinceMs.set(owner, sinceMs);
            return nowMs - sinceMs >= (this.options.orphanTimeoutMs ?? 3_000);
        });
    }

    /** Takes over an orphaned request, unless another node does so first. */
    private async takeOverOrphan(indexRow: Row): Promise<void> {
        const [row] = await this.options.tables.read([{ table, key: indexRow.key }]);
        const keptRow = row?.value as KeptRow | undefined;
        if (!row || !keptRow?.bundle || keptRow.state !== "open") {
            await this.tryWrite(openIndexTable, indexRow.key, undefined);
            return;
        }
        const outcome = await this.options.tables.transact([
            {
                table: openIndexTable,
                key: indexRow.key,
                condition: { kind: "revision", revision: indexRow.revision },
                value: { owner: this.options.nodeId },
            },
            {
                table,
                key: row.key,
                condition: { kind: "revision", revision: row.revision },
                value: { ...keptRow, owner: this.options.nodeId },
            },
        ]);
        if (outcome.kind === "committed") {
            const snapshot = { ...keptRow.bundle, events: Buffer.from(keptRow.bundle.events, "base64") };
            this.options.takeOver(snapshot as RequestSnapshot);
            this.options.events.emit(eventKinds.handOverRecovered, { requestId: indexRow.key });
        }
    }
}

const isSameOpenRow = (found: KeptRow, row: KeptRow): boolean =>
    found.state === row.state && found.owner === row.owner && found.atMs === row.atMs;

/** Name of the kept requests service. */
export const keptRequestsName = createServiceName<KeptRequests>("kept-requests");
