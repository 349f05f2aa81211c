import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { ClusterClock } from "../feeds/ClusterClock";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { UsageCounts } from "./types";

/** Options of {@link UsageLedger}. */
export interface UsageLedgerOptions {
    readonly clusterClock: ClusterClock;
    readonly reports: PeerReports;
    /** Identifies this process; a restarted node has a new one. */
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
const maxPastWindows = 4; // a report is due two windows after its window ends

/**
 * Counts the requests of each client account that began to run, by window of {@link ClusterClock} time. Nodes exchange
 * their counts. Any node can therefore report the total, and little is lost when a node fails.
 */
export class UsageLedger {
    /** Counts by window and process. */
    private readonly windows = new Map<number, Map<string, Record<string, number>>>();

    constructor(private readonly options: UsageLedgerOptions) {}

    async start(): Promise<void> {
        this.options.reports.exchange(
            usageTopic,
            () => this.readOwnUsage(),
            (_nodeId, usage) => this.mergeReport(usage),
        );
    }

    /** Converts a time, in milliseconds since the epoch, to the number of its window. */
    toWindow(trueMs: number): number {
        return Math.floor(trueMs / this.options.windowMs);
    }

    /** Computes the end of a window, in milliseconds since the epoch. */
    computeWindowEndMs(window: number): number {
        return (window + 1) * this.options.windowMs;
    }

    /** Counts a request that begins to run now. */
    recordRequest(accountName: string): void {
        const window = this.toWindow(this.options.clusterClock.readMs());
        const counts = this.getOrCreateCounts(window, this.options.processId);
        counts[accountName] = (counts[accountName] ?? 0) + 1;
    }

    /** Sums the counts of a window over all known processes. */
    computeTotals(window: number): UsageCounts {
        const totals: Record<string, number> = {};
        for (const counts of this.windows.get(window)?.values() ?? []) {
            for (const [account, count] of Object.entries(counts)) {
                totals[account] = (totals[account] ?? 0) + count;
            }
        }
        return totals;
    }

    /** Lists the counts of a window by process. */
    listCountsByProcess(window: number): Readonly<Record<string, UsageCounts>> {
        return Object.fromEntries(this.windows.get(window) ?? []);
    }

    /** Merges counts by process from another source; the higher count of each account wins. */
    mergeCounts(window: number, processes: Readonly<Record<string, UsageCounts>>): void {
        for (const [processId, counts] of Object.entries(processes)) {
            const known = this.getOrCreateCounts(window, processId);
            for (const [account, count] of Object.entries(counts)) {
                known[account] = Math.max(known[account] ?? 0, count);
            }
        }
    }

    private readOwnUsage(): ProcessUsage {
        const { processId, clusterClock } = this.options;
        this.dropExpiredWindows(this.toWindow(clusterClock.readMs()));
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

    private getOrCreateCounts(window: number, processId: string): Record<string, number> {
        const processes = this.windows.get(window) ?? new Map<string, Record<string, number>>();
        this.windows.set(window, processes);
        const counts = processes.get(processId) ?? {};
        processes.set(processId, counts);
        return counts;
    }

    private dropExpiredWindows(current: number): void {
        for (const window of this.windows.keys()) {
            if (window < current - maxPastWindows) {
                this.windows.delete(window);
            }
        }
    }
}

/** Name of the usage ledger service. */
export const usageLedgerName = createServiceName<UsageLedger>("usage-ledger");
