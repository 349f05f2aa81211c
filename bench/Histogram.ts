import { build, type Histogram as HdrHistogram } from "hdr-histogram-js";

const microsecondsPerMs = 1_000; // values are stored in microseconds

/** Records durations and reads percentiles of them, with three significant digits. */
export class Histogram {
    private readonly histogram: HdrHistogram = build({ numberOfSignificantValueDigits: 3 });

    /** Number of recorded durations. */
    get count(): number {
        return this.histogram.totalCount;
    }

    /**
     * Records a duration.
     *
     * @param durationMs - in milliseconds; negative values count as 0
     */
    record(durationMs: number): void {
        this.histogram.recordValue(Math.max(0, Math.round(durationMs * microsecondsPerMs)));
    }

    /**
     * Reads a percentile.
     *
     * @param percentile - 0 to 100
     * @returns duration in milliseconds
     */
    readPercentile(percentile: number): number {
        return this.histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
    }
}
