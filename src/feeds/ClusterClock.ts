import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { ClusterSums } from "../sums/ClusterSums";
import type { StoreClock } from "./StoreClock";

/** Options of {@link ClusterClock}. */
export interface ClusterClockOptions {
    readonly clock: Clock;
    readonly storeClock: StoreClock;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers">;
}

interface WeightedOffset {
    readonly offsetMs: number;
    /** Number of nodes with this offset. */
    readonly nodes: number;
}

/** Group of counters with the number of nodes by rounded offset of their wall clock from the store's clock. */
const offsetGroup = "clock-offset";
const roundingMs = 10; // nodes with similar clocks share a counter

/**
 * Estimates the time of day when the wall clocks of single VMs may jump. Every node reports the difference between its
 * wall clock and the store's monotonic clock; the median of these offsets is used.
 */
export class ClusterClock {
    constructor(private readonly options: ClusterClockOptions) {}

    async start(): Promise<void> {
        this.options.sums.registerContributor(offsetGroup, () => this.countOwnOffset());
    }

    /**
     * Estimates the time of day.
     *
     * @returns milliseconds since the epoch; this VM's wall-clock time as long as the store's clock is unknown
     */
    readMs(): number {
        const { clock, storeClock, sums } = this.options;
        const ownOffsetMs = storeClock.readWallMinusStoreMs();
        const storeMs = storeClock.readStoreMs();
        if (ownOffsetMs === undefined || storeMs === undefined) {
            return clock.readWallMs();
        }
        const others = [...sums.readOthers(offsetGroup)].map(([offset, nodes]) => ({
            offsetMs: Number(offset),
            nodes,
        }));
        return storeMs + findMedian([{ offsetMs: ownOffsetMs, nodes: 1 }, ...others]);
    }

    private countOwnOffset(): ReadonlyMap<string, number> {
        const offsetMs = this.options.storeClock.readWallMinusStoreMs();
        return offsetMs === undefined
            ? new Map()
            : new Map([[String(Math.round(offsetMs / roundingMs) * roundingMs), 1]]);
    }
}

const findMedian = (offsets: readonly WeightedOffset[]): number => {
    const sorted = [...offsets].sort((a, b) => a.offsetMs - b.offsetMs);
    const total = sorted.reduce((sum, { nodes }) => sum + nodes, 0);
    let below = 0;
    for (const { offsetMs, nodes } of sorted) {
        below += nodes;
        if (below > Math.floor(total / 2)) {
            return offsetMs;
        }
    }
    return sorted[sorted.length - 1].offsetMs;
};

/** Name of the cluster clock service. */
export const clusterClockName = createServiceName<ClusterClock>("true-time");
