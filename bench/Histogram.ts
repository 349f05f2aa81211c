import { build, type Histogram as HdrHistogram } from "hdr-histogram-js";

const unitsPerMs = 1_000; // kept in microseconds

/** Quantiles of durations. */
export class Histogram {
    private readonly histogram: HdrHistogram = build({ numberOfSignificantValueDigits: 3 });

    /** Number of recorded durations. */
    get count(): number {
        return this.histogram.totalCount;
    }

    /** Records a duration in milliseconds. */
    record(durationMs: number): void {
        this.histogram.recordValue(Math.max(0, Math.round(durationMs * unitsPerMs)));
    }

    /**
     * Reads a quantile.
     *
     * @param percent - 0 to 100
     * @returns milliseconds
     */
    readPercentile(percent: number): number {
        return this.histogram.getValueAtPercentile(percent) / unitsPerMs;
    }
}
