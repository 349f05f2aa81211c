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

/** Wall-clock time minus the store's clock, in milliseconds; 0 if the store's clock is unknown. */
const offsetTopic: ReportTopic<number> = { name: "clock-offset", schema: z.number() };

/**
 * Estimates the time of day when the wall clocks of single VMs may jump. Every node reports the difference between its
 * wall clock and the store's monotonic clock; the median of these offsets is used.
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
     * @returns milliseconds since the epoch; this VM's wall-clock time as long as the store's clock is unknown
     */
    readMs(): number {
        const { clock, storeClock, reports } = this.options;
        const ownOffsetMs = storeClock.readWallMinusStoreMs();
        const storeMs = storeClock.readStoreMs();
        if (ownOffsetMs === undefined || storeMs === undefined) {
            return clock.readWallMs();
        }
        const otherOffsetsMs = reports.listFresh(offsetTopic).map(report => report.value).filter(value =>
            value !== 0
        );
        const offsetsMs = [ownOffsetMs, ...otherOffsetsMs].sort((a, b) => a - b);
        return storeMs + offsetsMs[Math.floor(offsetsMs.length / 2)];
    }
}

/** Name of the cluster clock service. */
export const clusterClockName = createServiceName<ClusterClock>("true-time");
