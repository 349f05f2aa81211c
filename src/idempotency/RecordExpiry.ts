import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Lease } from "../leases/Lease";
import type { Row, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import type { GroupCommitter } from "./GroupCommitter";
import type { SendRecord } from "./types";

/** Options of {@link RecordExpiry}. */
export interface RecordExpiryOptions {
    readonly tables: TableService;
    readonly committer: GroupCommitter;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Only the holder of this lease expires records, which spares the store the reads of the other nodes. */
    readonly lease: Lease;
    /** Age at which an answer is dropped, in milliseconds. */
    readonly retentionMs: number;
    /** Interval between pages; default 5,000 ms. */
    readonly pageIntervalMs?: number;
    /** Rows per page; default 200. */
    readonly rowsPerPage?: number;
}

const sendsTable = "sends";
const keptTable = "kept-requests";
const defaultPageIntervalMs = 5_000;
const defaultRowsPerPage = 200;

/**
 * Drops old answers, page by page. A send record loses its answer and stays as `expired`, because deleting it
 * would let a call under its key be sent again. A kept request that has ended is deleted.
 */
export class RecordExpiry {
    private readonly scope: TaskScope;
    private readonly cursors = new Map<string, string>();

    constructor(private readonly options: RecordExpiryOptions) {
        this.scope = createLoggedTaskScope(options.events);
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
            yield* waitFor(
                this.options.clock.sleep(this.options.pageIntervalMs ?? defaultPageIntervalMs, signal),
            );
            if (!this.options.lease.readHeld()) {
                continue;
            }
            try {
                yield* this.expirePage(sendsTable, row => this.expireSendRecord(row));
                yield* this.expirePage(keptTable, row => this.removeKeptRequest(row));
            }
            catch {
                // The table service does not answer; the next round continues at the same page.
            }
        }
    }

    private *expirePage(table: string, expire: (row: Row) => Promise<unknown> | undefined): Task<void> {
        const limit = this.options.rowsPerPage ?? defaultRowsPerPage;
        const after = this.cursors.get(table) ?? "";
        const rows = yield* waitFor(this.options.tables.list(table, "", limit, after));
        yield* waitFor(Promise.all(rows.map(expire)));
        this.cursors.set(table, rows.length < limit ? "" : rows.at(-1)!.key);
    }

    private expireSendRecord(row: Row): Promise<unknown> | undefined {
        const record = row.value as SendRecord;
        if (record.state !== "done" || !this.isPastRetention(record.atMs)) {
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

    private removeKeptRequest(row: Row): Promise<unknown> | undefined {
        const kept = row.value as { readonly state: string; readonly atMs: number; };
        if (kept.state === "open" || !this.isPastRetention(kept.atMs)) {
            return undefined;
        }
        return this.options.committer.write({
            table: keptTable,
            key: row.key,
            condition: { kind: "revision", revision: row.revision },
            value: undefined,
        });
    }

    private isPastRetention(atMs: number): boolean {
        return this.options.clock.readWallMs() - atMs > this.options.retentionMs;
    }
}

/** Name of the record expiry service. */
export const recordExpiryName = createServiceName<RecordExpiry>("record-expiry");
