import { createServiceName } from "../kernel/createServiceName";
import type { Scope } from "../kernel/Scope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { TrueTime } from "../feeds/TrueTime";
import type { Lease } from "../leases/Lease";
import type { DutyCloud, TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { UsageCounts, UsageReport } from "./types";
import type { UsageLedger } from "./UsageLedger";

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
    readonly ledger: UsageLedger;
    readonly trueTime: TrueTime;
    readonly lease: Lease;
    readonly cloud: DutyCloud;
    readonly tables: TableService;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Time after a window's end within which its report is due, in milliseconds. */
    readonly dueMs: number;
    /** Longest time that a call to the cloud takes, in milliseconds. */
    readonly callMs: number;
}

const table = "usage-reports";
const tickMs = 500;
const settleMs = 1_500; // the last counts of all nodes arrive within a few report intervals
const keyDigits = 12;
const keptReports = 12;

/**
 * Reports the usage of each window once, by the holder of the lease. What is reported is recorded before it is sent, so
 * that a later holder, or a repeat after a lost answer, sends the very same counts.
 */
export class UsageReporter {
    private readonly scope: Scope;
    private nextWindow: number | undefined;

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
        const startWindow = this.options.ledger.toWindow(this.options.trueTime.readMs());
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(tickMs, signal));
            if (!this.options.lease.readHeld()) {
                this.nextWindow = undefined;
                continue;
            }
            this.nextWindow ??= this.findFirstDue(startWindow);
            yield* this.reportEnded();
        }
    }

    /** The oldest window whose report is not late yet; this process knows nothing of those before its start. */
    private findFirstDue(startWindow: number): number {
        const { ledger, trueTime, dueMs } = this.options;
        return Math.max(startWindow, ledger.toWindow(trueTime.readMs() - dueMs));
    }

    private *reportEnded(): Task<void> {
        const { ledger, trueTime } = this.options;
        while (ledger.readEndMs(this.nextWindow!) + settleMs <= trueTime.readMs()) {
            const window = this.nextWindow!;
            if (!(yield* this.tryReport(window))) {
                return;
            }
            this.nextWindow = window + 1;
        }
    }

    /** Reports one window; returns false when it must be tried again. */
    private *tryReport(window: number): Task<boolean> {
        const { ledger, trueTime, events, lease, callMs } = this.options;
        try {
            const report = yield* this.recordReport({ window, counts: ledger.computeTotals(window) });
            const held = lease.readHeldFor(callMs);
            if (!held) {
                return false;
            }
            yield* waitFor(this.options.cloud.reportUsage(report, held.fencing));
            events.emit(eventKinds.usageReported, {
                window,
                fencing: held.fencing,
                requests: sumCounts(report.counts),
                lateMs: Math.round(trueTime.readMs() - ledger.readEndMs(window)),
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
