import { z } from "zod";
import type { StoreClock } from "../feeds/StoreClock";
import type { RowOperation, TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link QuarantineRecords}. */
export interface QuarantineRecordsOptions {
    readonly tables: TableService;
    readonly storeClock: Pick<StoreClock, "readStoreMs">;
    readonly events: EventLog;
}

/** A quarantined part as it is stored. */
export interface QuarantineRecord {
    readonly partId: string;
    /** Store time at which its quarantine began, in milliseconds. */
    readonly sinceStoreMs: number;
}

const table = "quarantined-parts";
const maxRows = 500;
const maxKeyBytes = 200; // limit of the platform's store
const maxOperations = 100; // limit of one transaction
const recordSchema = z.object({ sinceStoreMs: z.number() });

/** Quarantined parts in the platform's store, for processes that start after all that know them have ended. */
export class QuarantineRecords {
    constructor(private readonly options: QuarantineRecordsOptions) {}

    /** Lists the stored parts; unreadable rows are skipped and logged. */
    async load(): Promise<QuarantineRecord[]> {
        const { tables, events } = this.options;
        const rows = await tables.list(table, "", maxRows);
        return rows.flatMap(({ key, value }) => {
            const record = recordSchema.safeParse(value);
            if (!record.success) {
                events.emit(eventKinds.rowUnreadable, { table, key });
                return [];
            }
            return [{ partId: key, sinceStoreMs: record.data.sinceStoreMs }];
        });
    }

    /**
     * Writes parts and removes others.
     *
     * @param written - parts to write; those whose ids the store cannot hold are skipped
     * @param removedIds - ids of the parts to remove
     * @returns whether the store took the changes
     */
    async write(written: readonly QuarantineRecord[], removedIds: readonly string[]): Promise<boolean> {
        const operations = [
            ...written.map(({ partId, sinceStoreMs }) => createOperation(partId, { sinceStoreMs })),
            ...removedIds.map(partId => createOperation(partId, undefined)),
        ].filter(({ key }) => Buffer.byteLength(key) <= maxKeyBytes).slice(0, maxOperations);
        if (operations.length === 0) {
            return true;
        }
        try {
            await this.options.tables.transact(operations);
            return true;
        }
        catch (error) {
            const fields = { call: "write quarantined parts", error: String(error) };
            this.options.events.emit(eventKinds.storeFailed, fields);
            return false;
        }
    }

    /** Current time of the store, in milliseconds; undefined while it is not known. */
    readStoreMs(): number | undefined {
        return this.options.storeClock.readStoreMs();
    }
}

const createOperation = (key: string, value: unknown): RowOperation => ({
    table,
    key,
    condition: { kind: "any" },
    value,
});
