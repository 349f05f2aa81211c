import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { StoreClock } from "./StoreClock";

/** Options of {@link ClusterClock}. */
export interface ClusterClockOptions {
    readonly clock: Clock;
    readonly storeClock: StoreClock;
    readonly reports: PeerReports;
}

const offsetTopic: ReportTopic<number> = { name: "clock-offset", schema: z.number() };

/**
 * Estimates the time of day although single VMs' wall clocks jump: every node tells by how much its wall clock differs
 * from the store's steady clock, and the median over the nodes counts.
 */
export class ClusterClock {
    constructor(private readonly options: ClusterClockOptions) {}

    async start(): Promise<void> {
        const { reports, storeClock } = this.options;
        reports.exchange(offsetTopic, () => Math.round(storeClock.readWallMinusStoreMs() ?? 0));
    }

    /**
     * Estimates the time of day.
     *
     * @returns milliseconds since the epoch; this VM's own wall clock before the store was heard
     */
    readMs(): number {
        const { clock, storeClock, reports } = this.options;
        const own = storeClock.readWallMinusStoreMs();
        const storeMs = storeClock.readStoreMs();
        if (own === undefined || storeMs === undefined) {
            return clock.readWallMs();
        }
        const others = reports.listFresh(offsetTopic).map(report => report.value).filter(value =>
            value !== 0
        );
        const offsets = [own, ...others].sort((a, b) => a - b);
        return storeMs + offsets[Math.floor(offsets.length / 2)];
    }
}

/** Name of the true time service. */
export const clusterClockName = createServiceName<ClusterClock>("true-time");
