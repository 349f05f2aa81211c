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
    /** The latest estimate by the store's clock, and the monotonic time of it, in milliseconds. */
    private latest: { readonly atMs: number; readonly monotonicMs: number; } | undefined;

    constructor(private readonly options: ClusterClockOptions) {}

    async start(): Promise<void> {
        this.options.sums.registerContributor(offsetGroup, () => this.countOwnOffset());
    }

    /**
     * Estimates the time of day. Where the store's clock becomes unknown, the estimate goes on steadily: after a suspension it
     * is late until the store answers, but never early.
     *
     * @returns milliseconds since the epoch; this VM's wall-clock time before the store's clock is known
     */
    readMs(): number {
        const { clock, storeClock, sums } = this.options;
        const ownOffsetMs = storeClock.readWallMinusStoreMs();
        const storeMs = storeClock.readStoreMs();
        if (ownOffsetMs === undefined || storeMs === undefined) {
            return this.readSteadyMs();
        }
        const others = [...sums.readOthers(offsetGroup)].map(([offset, nodes]) => ({
            offsetMs: Number(offset),
            nodes,
        }));
        const atMs = storeMs + findMedian([{ offsetMs: ownOffsetMs, nodes: 1 }, ...others]);
        this.latest = { atMs, monotonicMs: clock.readMonotonicMs() };
        return atMs;
    }

    private readSteadyMs(): number {
        const { clock } = this.options;
        return this.latest
            ? this.latest.atMs + clock.readMonotonicMs() - this.latest.monotonicMs
            : clock.readWallMs();
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
