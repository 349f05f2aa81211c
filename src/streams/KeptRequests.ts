import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { GroupCommitter, WriteOutcome } from "../idempotency/GroupCommitter";
import type { Row, TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
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
    /** Members that are live; requests of others are picked up. */
    readonly listLiveMembers: () => readonly string[];
    /** Whether this node looks for left requests now; a few nodes in rotation do. */
    readonly isPoller: () => boolean;
    /** Takes over a request. */
    readonly takeOver: (bundle: RequestSnapshot) => boolean;
    /** Pause between looks for left requests; default 2,000 ms. */
    readonly scanIntervalMs?: number;
    /** A request whose owner is not a live member for this long is picked up; default 3,000 ms. */
    readonly orphanTimeoutMs?: number;
}

/** A kept request as its row holds it. */
export interface KeptRow {
    readonly state: "open" | "answered" | "failed" | "cancelled";
    readonly owner: string;
    readonly accountId: string;
    /** Present while open. */
    readonly bundle?: Omit<RequestSnapshot, "events"> & { readonly events: string; };
    /** Present when answered. */
    readonly text?: string;
    readonly finishReason?: string;
    readonly message?: string;
    readonly atMs: number;
}

/** Outcome of storing a request. */
export type StoreResult = "stored" | "not-stored" | "unknown";

const table = "kept-requests";
const openTable = "kept-open";
const scanLimit = 200;
const writeAttempts = 5;
const firstPauseMs = 100;

/**
 * Requests of classes that are kept from acceptance on. Each has one row while it is open and keeps its
 * answer there; an index row names it while it is open, so that survivors find what a dead node left.
 */
export class KeptRequests {
    private readonly scope: TaskScope;
    private readonly missingSinceMs = new Map<string, number>();

    constructor(private readonly options: KeptRequestsOptions) {
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("kept-requests-scan", signal => this.scanLoop(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Stores a request before it is accepted.
     *
     * @returns `stored`, `not-stored`, or `unknown` when a lost write may still bring it about
     */
    async store(bundle: RequestSnapshot): Promise<StoreResult> {
        const row = this.toOpenRow(bundle);
        let mayExist = false;
        for (let attempt = 0; attempt < writeAttempts; attempt += 1) {
            const outcomes = await Promise.all([
                this.writeRow(openTable, bundle.id, { owner: this.options.nodeId }),
                this.writeRow(table, bundle.id, row),
            ]);
            if (outcomes.every(outcome => outcome.kind === "committed")) {
                return "stored";
            }
            mayExist = mayExist
                || outcomes.some(outcome =>
                    outcome.kind === "committed"
                    || (outcome.kind === "failed" && outcome.error.effect === "unknown")
                );
            await this.options.clock.sleep(firstPauseMs * 2 ** attempt);
        }
        return mayExist ? "unknown" : "not-stored";
    }

    /** Stores the end of a request and its answer; tries until the store confirms or the node stops. */
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
            const stored = await this.write(table, record.id, row);
            if (stored && await this.write(openTable, record.id, undefined)) {
                return;
            }
            await this.options.clock.sleep(firstPauseMs * 2 ** attempt);
        }
    }

    /**
     * Reads a kept request of an account.
     *
     * @throws StoreError when the store does not answer
     */
    async read(requestId: string, accountId: string): Promise<KeptRow | undefined> {
        const [row] = await this.options.tables.read([{ table, key: requestId }]);
        const kept = row?.value as KeptRow | undefined;
        return kept?.accountId === accountId ? kept : undefined;
    }

    private async write(name: string, key: string, value: unknown): Promise<boolean> {
        const outcome = await this.writeRow(name, key, value);
        return outcome.kind === "committed";
    }

    private writeRow(name: string, key: string, value: unknown): Promise<WriteOutcome> {
        return this.options.committer.write({ table: name, key, condition: { kind: "any" }, value });
    }

    private toOpenRow(bundle: RequestSnapshot): KeptRow {
        return {
            state: "open",
            owner: this.options.nodeId,
            accountId: bundle.accountId,
            bundle: { ...bundle, events: Buffer.from(bundle.events).toString("base64") },
            atMs: this.options.clock.readWallMs(),
        };
    }

    private *scanLoop(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.scanIntervalMs ?? 2_000, signal));
            if (!this.options.isPoller()) {
                continue;
            }
            try {
                const rows = yield* waitFor(this.options.tables.list(openTable, "", scanLimit));
                const orphans = this.findOrphans(rows);
                for (const row of orphans) {
                    yield* waitFor(this.pickUp(row));
                }
            }
            catch {
                // The table service is down; the next round looks again.
            }
        }
    }

    private findOrphans(rows: readonly Row[]): Row[] {
        const live = new Set(this.options.listLiveMembers());
        const nowMs = this.options.clock.readMonotonicMs();
        const owners = new Set(rows.map(row => (row.value as { owner: string; }).owner));
        for (const owner of this.missingSinceMs.keys()) {
            if (live.has(owner) || !owners.has(owner)) {
                this.missingSinceMs.delete(owner);
            }
        }
        return rows.filter(row => {
            const { owner } = row.value as { owner: string; };
            if (live.has(owner)) {
                return false;
            }
            const sinceMs = this.missingSinceMs.get(owner) ?? nowMs;
            this.missingSinceMs.set(owner, sinceMs);
            return nowMs - sinceMs >= (this.options.orphanTimeoutMs ?? 3_000);
        });
    }

    /** Takes a left request over, if this node is the first to. */
    private async pickUp(index: Row): Promise<void> {
        const [row] = await this.options.tables.read([{ table, key: index.key }]);
        const kept = row?.value as KeptRow | undefined;
        if (!row || !kept?.bundle || kept.state !== "open") {
            await this.write(openTable, index.key, undefined);
            return;
        }
        const outcome = await this.options.tables.transact([
            {
                table: openTable,
                key: index.key,
                condition: { kind: "revision", revision: index.revision },
                value: { owner: this.options.nodeId },
            },
            {
                table,
                key: row.key,
                condition: { kind: "revision", revision: row.revision },
                value: { ...kept, owner: this.options.nodeId },
            },
        ]);
        if (outcome.kind === "committed") {
            const bundle = { ...kept.bundle, events: Buffer.from(kept.bundle.events, "base64") };
            this.options.takeOver(bundle as RequestSnapshot);
            this.options.events.emit(eventKinds.handOverRecovered, { requestId: index.key });
        }
    }
}

/** Name of the kept requests service. */
export const keptRequestsName = createServiceName<KeptRequests>("kept-requests");
