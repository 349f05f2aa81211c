import { z } from "zod";
import type { FeedFollower } from "../feeds/FeedFollower";
import type { StoreClock } from "../feeds/StoreClock";
import type { RowOperation, TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

/** Options of {@link QuarantineRecords}. */
export interface QuarantineRecordsOptions {
    readonly tables: Pick<TableService, "transact">;
    readonly feed: Pick<FeedFollower<QuarantineRecord>, "records">;
    readonly storeClock: Pick<StoreClock, "readStoreMs">;
    readonly events: EventLog;
}

/** A quarantined part as it is stored, under its id. */
export interface QuarantineRecord {
    /** Store time at which its quarantine began, in milliseconds. */
    readonly sinceStoreMs: number;
}

/** Table with the quarantined parts. */
export const quarantineTable = "quarantined-parts";

const maxKeyBytes = 200; // limit of the platform's store
const maxOperations = 100; // limit of one transaction
const clockToleranceMs = 1_000; // the estimates of the store's clock differ between nodes
const recordSchema = z.object({ sinceStoreMs: z.number().finite() });

/**
 * Quarantined parts in the platform's store, for nodes that cannot reach those that know them, or that start after these
 * have ended.
 */
export class QuarantineRecords {
    constructor(private readonly options: QuarantineRecordsOptions) {}

    /** Registers a listener for the stored parts and their ages, in milliseconds; called at once if they are known. */
    listen(onChange: (agesMs: ReadonlyMap<string, number>) => void): void {
        const { feed } = this.options;
        feed.records.onChange(() => onChange(this.listAges()));
        if (feed.records.value) {
            onChange(this.listAges());
        }
    }

    /** Lists the stored parts with the time since their quarantine began, in milliseconds; infinite if it lies ahead. */
    listAges(): ReadonlyMap<string, number> {
        const nowMs = this.options.storeClock.readStoreMs();
        const records = this.options.feed.records.value ?? new Map<string, QuarantineRecord>();
        return new Map(
            [...records].map((
                [id, { sinceStoreMs }],
            ) => [id, computeAgeMs(sinceStoreMs, nowMs ?? sinceStoreMs)]),
        );
    }

    /**
     * Writes parts and removes others, if the store can be reached.
     *
     * @param agesMs - time since the quarantine of each part to write began, in milliseconds; parts whose ids the store
     *     cannot hold are skipped
     * @param removedIds - ids of the parts to remove
     */
    async write(agesMs: ReadonlyMap<string, number>, removedIds: readonly string[]): Promise<void> {
        const nowMs = this.options.storeClock.readStoreMs();
        if (nowMs === undefined) {
            return;
        }
        const operations = [
            ...[...agesMs].map(([id, ageMs]) => createOperation(id, { sinceStoreMs: nowMs - ageMs })),
            ...removedIds.map(id => createOperation(id, undefined)),
        ].filter(({ key }) => Buffer.byteLength(key) <= maxKeyBytes).slice(0, maxOperations);
        if (operations.length === 0) {
            return;
        }
        try {
            await this.options.tables.transact(operations);
        }
        catch (error) {
            const fields = { call: "write quarantined parts", error: String(error) };
            this.options.events.emit(eventKinds.storeFailed, fields);
        }
    }
}

/**
 * Decodes a row of {@link quarantineTable}.
 *
 * @param _key - the row's key, the id of the part
 * @param value - the row's value
 * @returns the record, or undefined when the row is not a valid one
 */
export const decodeQuarantineRecord = (_key: string, value: unknown): QuarantineRecord | undefined =>
    recordSchema.safeParse(value).data;

/** Computes the age of a record. One from the future is of another writer, and counts as ended. */
const computeAgeMs = (sinceStoreMs: number, nowMs: number): number =>
    sinceStoreMs > nowMs + clockToleranceMs ? Infinity : Math.max(0, nowMs - sinceStoreMs);

const createOperation = (key: string, value: QuarantineRecord | undefined): RowOperation => ({
    table: quarantineTable,
    key,
    condition: { kind: "any" },
    value,
});
