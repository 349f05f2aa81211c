import { createServiceName } from "../kernel/createServiceName";
import type { ClusterClock } from "../feeds/ClusterClock";
import type { ClusterSums } from "../sums/ClusterSums";
import type { UsageCounts } from "./types";

/** Options of {@link UsageLedger}. */
export interface UsageLedgerOptions {
    readonly clusterClock: ClusterClock;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers">;
    /** Length of a window, in milliseconds. */
    readonly windowMs: number;
}

type MutableCounts = Record<string, number>;

/** Group of counters with the requests by `WINDOW/ACCOUNT`. */
export const usageGroup = "usage";
/** Number of past windows whose counts are kept: a report is due two windows after its window ends. */
export const maxPastWindows = 4;

/**
 * Counts the requests of each client account that began to run, by window of {@link ClusterClock} time. The counts of
 * all nodes are summed, so that any node can report the total and little is lost when a node fails.
 */
export class UsageLedger {
    /** This process's counts by window. */
    private readonly own = new Map<number, MutableCounts>();
    /** Counts by window of processes that no longer contribute to the sums. */
    private readonly recovered = new Map<number, MutableCounts>();

    constructor(private readonly options: UsageLedgerOptions) {}

    async start(): Promise<void> {
        this.options.sums.registerContributor(usageGroup, () => this.listOwnCounts());
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
        const counts = this.own.get(window) ?? {};
        counts[accountName] = readCount(counts, accountName) + 1;
        this.own.set(window, counts);
    }

    /** Sums the counts of a window over all nodes. */
    computeTotals(window: number): UsageCounts {
        const totals: MutableCounts = {};
        addCounts(totals, this.own.get(window) ?? {});
        addCounts(totals, this.listOthers(window));
        addCounts(totals, this.recovered.get(window) ?? {});
        return totals;
    }

    /**
     * Adds what saved totals of a window count beyond the present ones: requests of processes that have ended and are
     * no longer part of the sums.
     *
     * @param window - the window
     * @param saved - totals that an earlier holder of the duty saved
     */
    recoverTotals(window: number, saved: UsageCounts): void {
        this.recovered.delete(window);
        const present = this.computeTotals(window);
        const missing = Object.entries(saved).map(([account, count]) =>
            [account, Math.max(0, count - readCount(present, account))] as const
        );
        this.recovered.set(window, Object.fromEntries(missing));
    }

    private listOthers(window: number): UsageCounts {
        const prefix = `${window}/`;
        const others = [...this.options.sums.readOthers(usageGroup)];
        return Object.fromEntries(
            others.filter(([name]) => name.startsWith(prefix)).map(([name, count]) =>
                [name.slice(prefix.length), Math.round(count)] as const
            ),
        );
    }

    private listOwnCounts(): ReadonlyMap<string, number> {
        this.dropExpiredWindows(this.toWindow(this.options.clusterClock.readMs()));
        return new Map(
            [...this.own].flatMap(([window, counts]) =>
                Object.entries(counts).map(([account, count]) => [`${window}/${account}`, count] as const)
            ),
        );
    }

    private dropExpiredWindows(current: number): void {
        for (const windows of [this.own, this.recovered]) {
            for (const window of windows.keys()) {
                if (window < current - maxPastWindows) {
                    windows.delete(window);
                }
            }
        }
    }
}

/** Reads the count of an account, which may be named like a property that every object has. */
const readCount = (counts: UsageCounts, account: string): number =>
    Object.hasOwn(counts, account) ? counts[account] : 0;

const addCounts = (sum: MutableCounts, counts: UsageCounts): void => {
    for (const [account, count] of Object.entries(counts)) {
        sum[account] = readCount(sum, account) + count;
    }
};

/** Name of the usage ledger service. */
export const usageLedgerName = createServiceName<UsageLedger>("usage-ledger");
