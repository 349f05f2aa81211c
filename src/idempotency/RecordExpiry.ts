import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Lease } from "../leases/Lease";
import type { Row, TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import type { GroupCommitter } from "./GroupCommitter";
import type { SendRecord } from "./types";

/** Options of {@link RecordExpiry}. */
export interface RecordExpiryOptions {
    readonly tables: TableService;
    readonly committer: GroupCommitter;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Only its holder expires, so that the store's reads are spent once. */
    readonly lease: Lease;
    /** How long answers are kept, in milliseconds. */
    readonly retentionMs: number;
    /** Pause between pages; default 5,000 ms. */
    readonly pageIntervalMs?: number;
    /** Rows per page; default 200. */
    readonly rowsPerPage?: number;
}

const sendsTable = "sends";
const keptTable = "kept-requests";
const defaultPageMs = 5_000;
const defaultPageRows = 200;

/**
 * Drops old answers, page by page. A send record stays as `expired` without its answer, since a deleted record
 * would open its key again; an ended kept request is deleted.
 */
export class RecordExpiry {
    private readonly scope: TaskScope;
    private readonly cursors = new Map<string, string>();

    constructor(private readonly options: RecordExpiryOptions) {
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        await this.options.lease.start();
        this.scope.run("record-expiry", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
        await this.options.lease.stop();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.pageIntervalMs ?? defaultPageMs, signal));
            if (!this.options.lease.readHeld()) {
                continue;
            }
            try {
                yield* this.expirePage(sendsTable, row => this.expireSend(row));
                yield* this.expirePage(keptTable, row => this.removeKept(row));
            }
            catch {
                // The table service is down; the next round goes on at the same place.
            }
        }
    }

    private *expirePage(table: string, expire: (row: Row) => Promise<unknown> | undefined): Task<void> {
        const limit = this.options.rowsPerPage ?? defaultPageRows;
        const after = this.cursors.get(table) ?? "";
        const rows = yield* waitFor(this.options.tables.list(table, "", limit, after));
        yield* waitFor(Promise.all(rows.map(expire)));
        this.cursors.set(table, rows.length < limit ? "" : rows.at(-1)!.key);
    }

    private expireSend(row: Row): Promise<unknown> | undefined {
        const record = row.value as SendRecord;
        if (record.state !== "done" || !this.isOld(record.atMs)) {
            return undefined;
        }
        const { answer: _dropped, ...rest } = record;
        return this.options.committer.write({
            table: sendsTable,
            key: row.key,
            condition: { kind: "revision", revision: row.revision },
            value: { ...rest, state: "expired" },
        });
    }

    private removeKept(row: Row): Promise<unknown> | undefined {
        const kept = row.value as { readonly state: string; readonly atMs: number; };
        if (kept.state === "open" || !this.isOld(kept.atMs)) {
            return undefined;
        }
        return this.options.committer.write({
            table: keptTable,
            key: row.key,
            condition: { kind: "revision", revision: row.revision },
            value: undefined,
        });
    }

    private isOld(atMs: number): boolean {
        return this.options.clock.readWallMs() - atMs > this.options.retentionMs;
    }
}

/** Name of the record expiry service. */
export const recordExpiryName = createServiceName<RecordExpiry>("record-expiry");
