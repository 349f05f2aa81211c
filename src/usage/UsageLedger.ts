import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { ClusterClock } from "../feeds/ClusterClock";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { UsageCounts } from "./types";

/** Options of {@link UsageLedger}. */
export interface UsageLedgerOptions {
    readonly clusterClock: ClusterClock;
    readonly reports: PeerReports;
    /** Tells two processes of one node apart. */
    readonly processId: string;
    /** Length of a window, in milliseconds. */
    readonly windowMs: number;
}

interface ProcessUsage {
    readonly processId: string;
    /** Counts by window number. */
    readonly windows: Readonly<Record<string, UsageCounts>>;
}

const usageTopic: ReportTopic<ProcessUsage> = {
    name: "usage",
    schema: z.object({ processId: z.string(), windows: z.record(z.record(z.number())) }),
};
const keptWindows = 4; // a window is due two windows after its end

/**
 * Counts the requests of each client account that began to run, by window of true time. Every node tells its counts to
 * the others, so that any of them can report the sum and little is lost with a node.
 */
export class UsageLedger {
    /** Counts by window and process. */
    private readonly windows = new Map<number, Map<string, Record<string, number>>>();

    constructor(private readonly options: UsageLedgerOptions) {}

    async start(): Promise<void> {
        this.options.reports.exchange(
            usageTopic,
            () => this.readOwn(),
            (_nodeId, usage) => this.mergeReport(usage),
        );
    }

    /** Number of the window that a time falls into. */
    toWindow(trueMs: number): number {
        return Math.floor(trueMs / this.options.windowMs);
    }

    /** Time at which a window ends, in milliseconds since the epoch. */
    computeWindowEndMs(window: number): number {
        return (window + 1) * this.options.windowMs;
    }

    /** Counts a request that begins to run now. */
    recordRequest(accountName: string): void {
        const window = this.toWindow(this.options.clusterClock.readMs());
        const counts = this.openCounts(window, this.options.processId);
        counts[accountName] = (counts[accountName] ?? 0) + 1;
    }

    /** Sums a window's counts over all processes that were heard. */
    computeTotals(window: number): UsageCounts {
        const totals: Record<string, number> = {};
        for (const counts of this.windows.get(window)?.values() ?? []) {
            for (const [account, count] of Object.entries(counts)) {
                totals[account] = (totals[account] ?? 0) + count;
            }
        }
        return totals;
    }

    /** Lists a window's counts by process. */
    listCountsByProcess(window: number): Readonly<Record<string, UsageCounts>> {
        return Object.fromEntries(this.windows.get(window) ?? []);
    }

    /** Takes in counts by process that were kept elsewhere; higher counts than these are kept. */
    mergeCounts(window: number, processes: Readonly<Record<string, UsageCounts>>): void {
        for (const [processId, counts] of Object.entries(processes)) {
            const known = this.openCounts(window, processId);
            for (const [account, count] of Object.entries(counts)) {
                known[account] = Math.max(known[account] ?? 0, count);
            }
        }
    }

    private readOwn(): ProcessUsage {
        const { processId, clusterClock } = this.options;
        this.dropOld(this.toWindow(clusterClock.readMs()));
        const windows: Record<string, UsageCounts> = {};
        for (const [window, processes] of this.windows) {
            const counts = processes.get(processId);
            if (counts) {
                windows[window] = counts;
            }
        }
        return { processId, windows };
    }

    private mergeReport(usage: ProcessUsage): void {
        for (const [window, counts] of Object.entries(usage.windows)) {
            this.mergeCounts(Number(window), { [usage.processId]: counts });
        }
    }

    private openCounts(window: number, processId: string): Record<string, number> {
        const processes = this.windows.get(window) ?? new Map<string, Record<string, number>>();
        this.windows.set(window, processes);
        const counts = processes.get(processId) ?? {};
        processes.set(processId, counts);
        return counts;
    }

    private dropOld(current: number): void {
        for (const window of this.windows.keys()) {
            if (window < current - keptWindows) {
                this.windows.delete(window);
            }
        }
    }
}

/** Name of the usage ledger service. */
export const usageLedgerName = createServiceName<UsageLedger>("usage-ledger");
