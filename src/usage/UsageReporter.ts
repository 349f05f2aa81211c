import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ClusterClock } from "../feeds/ClusterClock";
import type { StoreEra } from "../feeds/StoreEra";
import { DutyCaller } from "../leases/DutyCaller";
import type { Lease } from "../leases/Lease";
import type { DutyTarget } from "../leases/types";
import type { FencedCloud, Row, RowCondition, TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { formatWindowKey } from "./formatWindowKey";
import { SavedCounts } from "./SavedCounts";
import { countsSchema, type UsageCounts, type UsageReport } from "./types";
import type { UsageLedger } from "./UsageLedger";

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
    readonly ledger: UsageLedger;
    readonly clusterClock: ClusterClock;
    readonly lease: Lease;
    readonly cloud: FencedCloud;
    readonly tables: TableService;
    /** Era of the store; default: the store is never restored from an older copy. */
    readonly storeEra?: StoreEra;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Time after the end of a window within which its report is due, in milliseconds. */
    readonly dueMs: number;
    /** Time-out of a call to the cloud, in milliseconds. */
    readonly callTimeoutMs: number;
}

const numberSchema = z.number().int().nonnegative().safe();
const firstWindowSchema = z.object({ era: numberSchema, window: numberSchema });
const reportsTable = "usage-reports";
/** Row of {@link reportsTable} with the era of the store in which the last holder wrote its reports. */
const eraKey = "era";
/** Row of {@link reportsTable} with the same era and the first window that holders of it report. Earlier versions write none. */
const firstWindowKey = "first-window";
/** All reports are about one subject. */
const usageTarget: DutyTarget = { duty: "usage", subject: "usage" };
const cycleMs = 500;
const collectionDelayMs = 1_500; // the last counts of all nodes arrive within a few intervals of the sums
const retainedReports = 12;
const saveIntervalMs = 2_000; // bounds the counts lost when all nodes are killed at the same time

/**
 * Reports the usage of each window to the cloud while this node holds the lease. Each report is stored before it is
 * sent; a retry after a lost answer, also by a later holder, sends identical counts.
 *
 * When the store was restored from an older copy, the holder writes its reports again. A new holder that finds no reports of
 * the present era cannot tell which windows were reported before, and starts with the window in which this process first saw
 * the era: windows are reported after their end, and so nobody has reported that one in an earlier era. It stores this
 * window, as later holders cannot tell either.
 */
export class UsageReporter {
    private readonly scope: TaskScope;
    private readonly caller: DutyCaller;
    private nextWindow: number | undefined;
    /** First window that this holder reports. */
    private firstWindow = 0;
    /** Reports that this holder has stored or found, by window. */
    private readonly storedReports = new Map<number, UsageReport>();
    /** Era of the store in which {@link storedReports} were written. */
    private storedEra: number | undefined;
    /** Monotonic time at which this process first saw the present era of the store. */
    private eraSeenAtMs: number;
    private readonly savedCounts: SavedCounts;
    private savedAtMs = -Infinity;

    constructor(private readonly options: UsageReporterOptions) {
        this.scope = createLoggedTaskScope(options.events);
        this.caller = new DutyCaller(options);
        const { tables, events } = options;
        this.savedCounts = new SavedCounts({ tables, events, retainedWindows: retainedReports });
        this.eraSeenAtMs = options.clock.readMonotonicMs();
        options.storeEra?.current.onChange(() => this.eraSeenAtMs = options.clock.readMonotonicMs());
    }

    async start(): Promise<void> {
        this.scope.run("usage-reports", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(cycleMs, signal));
            yield* this.runCycle();
        }
    }

    /** Takes the duty over, if need be, and performs it. The lease may be lost during each step, and is checked before it. */
    private *runCycle(): Task<void> {
        const { lease } = this.options;
        if (!lease.isHolder()) {
            this.nextWindow = undefined;
            return;
        }
        if (lease.readHeld() && this.nextWindow === undefined) {
            yield* this.takeOver();
        }
        const isReady = this.nextWindow !== undefined && lease.readHeld() && (yield* this.restoreReports());
        if (isReady) {
            yield* this.reportEndedWindows();
        }
        if (isReady && lease.readHeld()) {
            yield* this.saveCounts();
        }
    }

    /**
     * Starts with the oldest window that is not overdue and that no holder of an earlier era may have reported, and loads the
     * counts saved by the previous holder.
     */
    private *takeOver(): Task<void> {
        const { ledger, clusterClock, dueMs, events } = this.options;
        const nowMs = clusterClock.readMs();
        const oldest = ledger.toWindow(nowMs - dueMs);
        this.storedReports.clear();
        this.storedEra = undefined;
        this.savedCounts.reset();
        try {
            const first = Math.max(oldest, yield* this.findFirstWindow());
            for (let window = first; window <= ledger.toWindow(nowMs); window += 1) {
                ledger.recoverTotals(window, yield* this.savedCounts.read(window));
            }
            this.nextWindow = first;
            this.firstWindow = first;
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "usage", window: oldest, error: String(error) });
        }
    }

    private reportUnreadable(table: string, key: string): void {
        this.options.events.emit(eventKinds.rowUnreadable, { table, key });
    }

    private readEra(): number | undefined {
        return this.options.storeEra?.current.value;
    }

    /** Finds the first window that no holder of an earlier era of the store can have reported. */
    private *findFirstWindow(): Task<number> {
        const { tables, ledger, clusterClock, clock, events } = this.options;
        const [eraRow, firstRow] = yield* waitFor(tables.read([
            { table: reportsTable, key: eraKey },
            { table: reportsTable, key: firstWindowKey },
        ]));
        const era = this.readEra();
        const stored = this.readFirstWindow(firstRow);
        const storedEra = stored?.era ?? eraRow?.value;
        if (era === undefined || storedEra === era) {
            return Math.min(stored?.window ?? 0, ledger.toWindow(clusterClock.readMs()));
        }
        const window = ledger.toWindow(clusterClock.readMs() - (clock.readMonotonicMs() - this.eraSeenAtMs));
        if (storedEra !== undefined) {
            events.emit(eventKinds.dutyFailed, { duty: "usage", window, error: "reports were lost" });
        }
        return window;
    }

    /** Decodes the stored first window; a row of another writer counts as absent. */
    private readFirstWindow(row: Row | undefined): z.output<typeof firstWindowSchema> | undefined {
        const decoded = firstWindowSchema.optional().safeParse(row?.value);
        if (!decoded.success) {
            this.reportUnreadable(reportsTable, firstWindowKey);
        }
        return decoded.data;
    }

    /** Writes the stored reports again if the store lost them; returns false if that must be retried. */
    private *restoreReports(): Task<boolean> {
        const era = this.readEra();
        if (era === undefined || era === this.storedEra) {
            return true;
        }
        const condition = { kind: "any" } as const;
        const writes = [...this.storedReports.values()].map(({ window, counts }) => ({
            table: reportsTable,
            key: formatWindowKey(window),
            condition,
            value: counts,
        }));
        try {
            const eraWrites = [
                { key: eraKey, value: era },
                { key: firstWindowKey, value: { era, window: this.firstWindow } },
            ].map(row => ({ table: reportsTable, condition, ...row }));
            yield* waitFor(this.options.tables.transact([...writes, ...eraWrites]));
            if (this.storedEra !== undefined) {
                this.savedCounts.reset();
            }
            this.storedEra = era;
            return true;
        }
        catch (error) {
            this.options.events.emit(eventKinds.dutyFailed, { duty: "usage", error: String(error) });
            return false;
        }
    }

    /** Saves the counts of the current and the previous window if they have changed. */
    private *saveCounts(): Task<void> {
        const { ledger, clusterClock, clock, events } = this.options;
        const nowMs = clock.readMonotonicMs();
        if (nowMs - this.savedAtMs < saveIntervalMs) {
            return;
        }
        const current = ledger.toWindow(clusterClock.readMs());
        const windows = [current - 1, current].map(window => ({
            window,
            counts: ledger.computeTotals(window),
        }));
        if (this.savedCounts.isSaved(windows)) {
            return;
        }
        this.savedAtMs = nowMs;
        try {
            const isSaved = yield* this.savedCounts.save(windows);
            this.savedAtMs = isSaved ? nowMs : -Infinity;
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "usage", window: current, error: String(error) });
        }
    }

    private *reportEndedWindows(): Task<void> {
        const { ledger, clusterClock } = this.options;
        while (
            this.nextWindow !== undefined
            && ledger.computeWindowEndMs(this.nextWindow) + collectionDelayMs <= clusterClock.readMs()
        ) {
            const window = this.nextWindow;
            if (!(yield* this.tryReport(window)) && !this.isPastDeadline(window)) {
                return;
            }
            this.nextWindow = window + 1;
        }
    }

    /** Whether the report of a window is overdue. Such windows are skipped; retries would delay the next reports. */
    private isPastDeadline(window: number): boolean {
        const { ledger, clusterClock, dueMs } = this.options;
        return ledger.computeWindowEndMs(window) + dueMs < clusterClock.readMs();
    }

    /** Reports one window; returns false if it must be retried. */
    private *tryReport(window: number): Task<boolean> {
        const { ledger, lease, clusterClock, events, cloud, callTimeoutMs } = this.options;
        if (!lease.readHeldFor(callTimeoutMs)) {
            return false;
        }
        try {
            const report = yield* this.recordReport({ window, counts: ledger.computeTotals(window) });
            const answered = yield* waitFor(this.caller.call(
                usageTarget,
                (fencing, stages) => cloud.reportUsage(report, fencing, stages),
            ));
            if (!answered) {
                return false;
            }
            events.emit(eventKinds.usageReported, {
                window,
                fencing: answered.fencing,
                requests: sumCounts(report.counts),
                lateMs: Math.round(clusterClock.readMs() - ledger.computeWindowEndMs(window)),
            });
            return true;
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "usage", window, error: String(error) });
            return false;
        }
    }

    /** Returns the report of a window as it was stored first. A report that this process stored may be lost in the store. */
    private *recordReport(report: UsageReport): Task<UsageReport> {
        const known = this.storedReports.get(report.window);
        const stored = known ?? (yield* this.storeReport(report));
        this.storedReports.set(report.window, stored);
        this.storedReports.delete(report.window - retainedReports);
        return stored;
    }

    /**
     * Stores a report, or reads the one stored before, and deletes a report that is too old to be retried. A row of another
     * writer that holds no counts is replaced.
     */
    private *storeReport(report: UsageReport): Task<UsageReport> {
        const { tables } = this.options;
        const key = formatWindowKey(report.window);
        if (yield* this.writeReport(report, { kind: "absent" })) {
            return report;
        }
        const [row] = yield* waitFor(tables.read([{ table: reportsTable, key }]));
        if (!row) {
            throw new Error(`the stored report of window ${report.window} no longer exists`);
        }
        const stored = countsSchema.safeParse(row.value);
        if (stored.success) {
            return { window: report.window, counts: stored.data };
        }
        this.reportUnreadable(reportsTable, key);
        if (yield* this.writeReport(report, { kind: "revision", revision: row.revision })) {
            return report;
        }
        throw new Error(`the stored report of window ${report.window} has changed meanwhile`);
    }

    private *writeReport({ window, counts }: UsageReport, condition: RowCondition): Task<boolean> {
        const oldKey = formatWindowKey(window - retainedReports);
        const outcome = yield* waitFor(this.options.tables.transact([
            { table: reportsTable, key: formatWindowKey(window), condition, value: counts },
            { table: reportsTable, key: oldKey, condition: { kind: "any" }, value: undefined },
        ]));
        return outcome.kind === "committed";
    }
}

const sumCounts = (counts: UsageCounts): number =>
    Object.values(counts).reduce((sum, count) => sum + count, 0);

/** Name of the usage reporter service. */
export const usageReporterName = createServiceName<UsageReporter>("usage-reporter");
