import { z } from "zod";
import { retryStoreCall } from "../feeds/retryStoreCall";
import { SharedReading } from "../feeds/SharedReading";
import type { StoreClock } from "../feeds/StoreClock";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import type { Row, RowOperation, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { SoftwareVersions } from "./SoftwareVersions";

/** Options of {@link VersionRecords}. */
export interface VersionRecordsOptions {
    readonly tables: TableService;
    readonly versions: SoftwareVersions;
    readonly storeClock: Pick<StoreClock, "readStoreMs">;
    /** Whether this node currently writes for all. */
    readonly isWriter: () => boolean;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** Store time at which each version was last listed; null while it is. */
type VersionRecord = Readonly<Record<string, number | null>>;

interface StoredRecord {
    readonly revision: number;
    readonly record: VersionRecord;
}

type RecordOperation = RowOperation & { readonly value: VersionRecord; };

const table = "software-versions";
const recordSchema = z.record(z.number().finite().nullable());
const pageRows = 500;
const maxPages = 20;
const maxKeyBytes = 200; // limit of the platform's store
const maxRecordBytes = 24_000; // half of what a row of the platform's store holds
const maxOperations = 40; // of one transaction; each states the row's revision besides
const clockToleranceMs = 1_000; // the estimates of the store's clock differ between nodes
const checkMs = 500; // a node that begins to write for all records what another one has missed
const retryMs = 500;
const reloadIntervalMs = 100;
const startTimeoutMs = 300;
const clockPollMs = 10;
const keptMs = 600_000; // longer than any stream

/**
 * Keeps the software versions of each service in the store, so that a process knows which versions there were before its
 * start. Written when a version comes or goes.
 */
export class VersionRecords {
    private readonly scope: TaskScope;
    private readonly reloading: SharedReading;
    private stored = new Map<string, StoredRecord>();
    /** Services with a write whose outcome is not known, and which a later write has to replace or to prevent. */
    private readonly unsettled = new Set<string>();
    /** Whether this node has read the records since it became the writer, and knows which of them it has to write again. */
    private isPreparedWriter = false;
    private wake: () => void = () => {};

    constructor(private readonly options: VersionRecordsOptions) {
        this.scope = createLoggedTaskScope(options.events);
        const { clock } = options;
        this.reloading = new SharedReading({
            clock,
            read: () => this.readAgain(),
            intervalMs: reloadIntervalMs,
        });
    }

    /** Starts, and waits a moment for the records, since callers take their streams up right after a restart. */
    async start(): Promise<void> {
        const { clock, versions } = this.options;
        versions.onChange(() => this.wake());
        const loaded = new Promise<void>(resolve => {
            this.scope.run("version-records", signal => this.keep(signal, resolve));
        });
        await waitWithTimeout({ clock, promises: [loaded], timeoutMs: startTimeoutMs });
    }

    async stop(): Promise<void> {
        this.wake();
        await this.scope.cancel();
    }

    /**
     * Reads the records again, after a pause in which versions may have come and gone unseen. Readings are shared by all
     * that wait for one.
     *
     * @returns whether a reading that began after this call succeeded
     */
    reload(): Promise<boolean> {
        return this.reloading.join();
    }

    private async readAgain(): Promise<boolean> {
        const { versions, events } = this.options;
        const { latestPause } = versions;
        try {
            await this.load();
        }
        catch (error) {
            events.emit(eventKinds.storeFailed, { call: "load version records", error: String(error) });
            return false;
        }
        this.reportHistory();
        versions.completeHistory(latestPause);
        return true;
    }

    private *keep(signal: AbortSignal, onLoaded: () => void): Task<void> {
        const { clock, versions, events, storeClock } = this.options;
        const { latestPause } = versions;
        const call = async (): Promise<true> => this.load();
        const isLoaded = yield* waitFor(
            retryStoreCall({ name: "load version records", call, clock, events, signal }),
        );
        while (!signal.aborted && storeClock.readStoreMs() === undefined) {
            yield* waitFor(clock.sleep(clockPollMs, signal));
        }
        if (!isLoaded || signal.aborted) {
            return;
        }
        this.reportHistory();
        versions.completeHistory(latestPause);
        onLoaded();
        while (!signal.aborted) {
            const changed = new Promise<void>(resolve => {
                this.wake = resolve;
            });
            const isWritten = yield* waitFor(this.writeChanges());
            const timeoutMs = isWritten ? checkMs : retryMs;
            yield* waitFor(waitWithTimeout({ clock, promises: [changed], timeoutMs }));
        }
    }

    /** Loads the records of all services, or as many as rows that other writers may have added leave room for. */
    private async load(): Promise<true> {
        const stored = new Map<string, StoredRecord>();
        let after = "";
        for (let page = 0; page < maxPages; page += 1) {
            const rows = await this.options.tables.list(table, "", pageRows, after);
            rows.forEach(row => stored.set(row.key, toStoredRecord(row)));
            after = rows.at(-1)?.key ?? "";
            if (rows.length < pageRows) {
                break;
            }
        }
        this.stored = stored;
        return true;
    }

    /** Reads the records of some services again. */
    private async reloadServices(services: readonly string[]): Promise<void> {
        const rows = await this.options.tables.read(services.map(key => ({ table, key })));
        services.forEach((service, index) => {
            const row = rows[index];
            if (row) {
                this.stored.set(service, toStoredRecord(row));
            }
            else {
                this.stored.delete(service);
            }
        });
    }

    /** Passes the stored times on. A version whose end is not recorded may have been listed until now. */
    private reportHistory(): void {
        const nowMs = this.options.storeClock.readStoreMs();
        for (const [service, { record }] of this.stored) {
            for (const [version, listedStoreMs] of Object.entries(record)) {
                const sinceMs = nowMs === undefined || listedStoreMs === null ? 0 : nowMs - listedStoreMs;
                this.options.versions.addHistory(service, version, Math.max(0, sinceMs));
            }
        }
    }

    /**
     * Writes what has changed, if this node writes for all, and else where an own write is not settled. Returns false if
     * that has to be tried again.
     */
    private async writeChanges(): Promise<boolean> {
        const { storeClock, events, versions } = this.options;
        const isWriter = this.options.isWriter();
        const nowMs = storeClock.readStoreMs();
        const services = isWriter ? versions.listServices() : [...this.unsettled];
        this.isPreparedWriter &&= isWriter;
        if (nowMs === undefined || services.length === 0) {
            return true;
        }
        try {
            if (isWriter && !this.isPreparedWriter) {
                await this.prepareWriter(services);
            }
            const operations = services
                .map(service => this.createOperation(service, nowMs))
                .filter(operation => operation !== undefined);
            let isWritten = true;
            for (let first = 0; first < operations.length; first += maxOperations) {
                isWritten = await this.write(operations.slice(first, first + maxOperations)) && isWritten;
            }
            return isWritten;
        }
        catch (error) {
            events.emit(eventKinds.storeFailed, { call: "write version records", error: String(error) });
            return false;
        }
    }

    /**
     * Reads what the writer before has written, once this node is the writer. Each record is to be written again: a write of
     * the one before that is carried out later then fails, as the record has another revision.
     */
    private async prepareWriter(services: readonly string[]): Promise<void> {
        await this.load();
        services.filter(service => this.stored.has(service)).forEach(service => this.unsettled.add(service));
        this.isPreparedWriter = true;
    }

    /** Writes some records; reads those again that others have changed, and returns false if there are such. */
    private async write(operations: readonly RecordOperation[]): Promise<boolean> {
        operations.forEach(({ key }) => this.unsettled.add(key));
        const outcome = await this.options.tables.transact(operations);
        if (outcome.kind === "conflict") {
            const overtaken = outcome.failed.map(index => operations[index].key);
            await this.reloadServices(overtaken);
            overtaken.forEach(service => this.unsettled.delete(service));
            return false;
        }
        operations.forEach(({ key }) => this.unsettled.delete(key));
        operations.forEach(({ key, value }, index) =>
            this.stored.set(key, { revision: outcome.revisions[index], record: value })
        );
        return true;
    }

    /** Returns undefined if the stored record of a service is surely up to date, or if the store cannot hold it. */
    private createOperation(service: string, nowMs: number): RecordOperation | undefined {
        const stored = this.stored.get(service);
        const known = this.options.versions.listVersions(service);
        const isUpToDate = known.every(({ version, isListed, sinceListedMs }) => {
            const value = stored?.record[version];
            return value === undefined
                ? sinceListedMs > keptMs
                : (value === null) === isListed && (value ?? 0) <= nowMs + clockToleranceMs;
        });
        if (isUpToDate && !this.unsettled.has(service)) {
            return undefined;
        }
        const current = Object.fromEntries(known.map(({ version, isListed, sinceListedMs }) => [
            version,
            isListed ? null : nowMs - sinceListedMs,
        ]));
        const merged = Object.entries({ ...stored?.record, ...current });
        const value = Object.fromEntries(
            merged.filter(([, listedMs]) => listedMs === null || nowMs - listedMs <= keptMs),
        );
        const condition = stored
            ? { kind: "revision", revision: stored.revision } as const
            : { kind: "absent" } as const;
        const isStorable = Buffer.byteLength(service) <= maxKeyBytes
            && Buffer.byteLength(JSON.stringify(value)) <= maxRecordBytes;
        return isStorable ? { table, key: service, condition, value } : undefined;
    }
}

const toStoredRecord = ({ revision, value }: Row): StoredRecord => ({
    revision,
    record: recordSchema.safeParse(value).data ?? {},
});

/** Name of the version records service. */
export const versionRecordsName = createServiceName<VersionRecords>("version-records");
