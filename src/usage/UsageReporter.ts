import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ClusterClock } from "../feeds/ClusterClock";
import type { Lease } from "../leases/Lease";
import type { FencedCloud, TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { UsageCounts, UsageReport } from "./types";
import type { UsageLedger } from "./UsageLedger";

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
    readonly ledger: UsageLedger;
    readonly clusterClock: ClusterClock;
    readonly lease: Lease;
    readonly cloud: FencedCloud;
    readonly tables: TableService;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Time after a window's end within which its report is due, in milliseconds. */
    readonly dueMs: number;
    /** Longest time that a call to the cloud takes, in milliseconds. */
    readonly callTimeoutMs: number;
}

const table = "usage-reports";
/** Counts by process of windows that have not been reported, for the next holder. */
const countsTable = "usage-counts";
const tickMs = 500;
const settleMs = 1_500; // the last counts of all nodes arrive within a few report intervals
const keyDigits = 12;
const keptReports = 12;
const saveMs = 1_000; // what is lost when all nodes are killed at once

/**
 * Reports the usage of each window once, by the holder of the lease. What is reported is recorded before it is sent, so
 * that a later holder, or a repeat after a lost answer, sends the very same counts.
 */
export class UsageReporter {
    private readonly scope: TaskScope;
    private nextWindow: number | undefined;
    private savedAtMs = -Infinity;
    private savedText = "";

    constructor(private readonly options: UsageReporterOptions) {
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("usage-reports", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(tickMs, signal));
            if (!this.options.lease.readHeld()) {
                this.nextWindow = undefined;
                continue;
            }
            if (this.nextWindow === undefined) {
                yield* this.takeOver();
            }
            yield* this.reportEnded();
            yield* this.saveCounts();
        }
    }

    /** Begins with the oldest window whose report is not late yet, and with what the last holder knew of it. */
    private *takeOver(): Task<void> {
        const { ledger, clusterClock, dueMs, tables, events } = this.options;
        const nowMs = clusterClock.readMs();
        const first = ledger.toWindow(nowMs - dueMs);
        try {
            for (let window = first; window <= ledger.toWindow(nowMs); window += 1) {
                const [row] = yield* waitFor(tables.read([{ table: countsTable, key: formatKey(window) }]));
                ledger.mergeCounts(window, (row?.value ?? {}) as Record<string, UsageCounts>);
            }
            this.nextWindow = first;
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "usage", window: first, error: String(error) });
        }
    }

    /** Saves the counts of the current window and the one before, when they have changed. */
    private *saveCounts(): Task<void> {
        const { ledger, clusterClock, tables, clock, events } = this.options;
        const nowMs = clock.readMonotonicMs();
        if (nowMs - this.savedAtMs < saveMs) {
            return;
        }
        const current = ledger.toWindow(clusterClock.readMs());
        const writes = [current - 1, current].map(window => ({
            table: countsTable,
            key: formatKey(window),
            condition: { kind: "any" } as const,
            value: ledger.listCountsByProcess(window),
        }));
        const text = JSON.stringify(writes);
        if (text === this.savedText) {
            return;
        }
        this.savedAtMs = nowMs;
        try {
            const old = { table: countsTable, key: formatKey(current - keptReports) };
            const drop = { ...old, condition: { kind: "any" } as const, value: undefined };
            yield* waitFor(tables.transact([...writes, drop]));
            this.savedText = text;
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "usage", window: current, error: String(error) });
        }
    }

    private *reportEnded(): Task<void> {
        const { ledger, clusterClock } = this.options;
        while (
            this.nextWindow !== undefined
            && ledger.computeWindowEndMs(this.nextWindow) + settleMs <= clusterClock.readMs()
        ) {
            const window = this.nextWindow;
            if (!(yield* this.tryReport(window)) && !this.isTooLate(window)) {
                return;
            }
            this.nextWindow = window + 1;
        }
    }

    /** Whether a report of a window counts for nothing any more, so that it must not hold up the next ones. */
    private isTooLate(window: number): boolean {
        const { ledger, clusterClock, dueMs } = this.options;
        return ledger.computeWindowEndMs(window) + dueMs < clusterClock.readMs();
    }

    /** Reports one window; returns false when it must be tried again. */
    private *tryReport(window: number): Task<boolean> {
        const { ledger, clusterClock, events, lease, callTimeoutMs } = this.options;
        try {
            const report = yield* this.recordReport({ window, counts: ledger.computeTotals(window) });
            const held = lease.readHeldFor(callTimeoutMs);
            if (!held) {
                return false;
            }
            yield* waitFor(this.options.cloud.reportUsage(report, held.fencing));
            events.emit(eventKinds.usageReported, {
                window,
                fencing: held.fencing,
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

    /** Records a report, or finds the one that was recorded before; drops one that can no longer be repeated. */
    private *recordReport(report: UsageReport): Task<UsageReport> {
        const { tables } = this.options;
        const key = formatKey(report.window);
        const oldKey = formatKey(report.window - keptReports);
        const outcome = yield* waitFor(tables.transact([
            { table, key, condition: { kind: "absent" }, value: report.counts },
            { table, key: oldKey, condition: { kind: "any" }, value: undefined },
        ]));
        if (outcome.kind === "committed") {
            return report;
        }
        const [row] = yield* waitFor(tables.read([{ table, key }]));
        if (!row) {
            throw new Error(`the recorded report of window ${report.window} is gone`);
        }
        return { window: report.window, counts: row.value as UsageCounts };
    }
}

const formatKey = (window: number): string => String(window).padStart(keyDigits, "0");

const sumCounts = (counts: UsageCounts): number =>
    Object.values(counts).reduce((sum, count) => sum + count, 0);

/** Name of the usage reporter service. */
export const usageReporterName = createServiceName<UsageReporter>("usage-reporter");
