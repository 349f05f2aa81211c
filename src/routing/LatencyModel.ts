/** Options of {@link LatencyModel}. */
export interface LatencyModelOptions {
    /** Weight of a new sample in the moving average, 0 to 1; default 0.2. */
    readonly smoothing?: number;
}

const defaultSmoothing = 0.2;
const initialPrefillMsPerToken = 0.1; // 10,000 tokens/s until the first sample
const initialBetweenTokensMs = 10;
const initialServiceMs = 4_000;
const bucketCount = 12; // one for each power of two of concurrently running requests

/** Estimates prefill time, time between tokens and service time of one runner by moving averages over its requests. */
export class LatencyModel {
    private readonly smoothing: number;
    private prefillEstimateMs = initialPrefillMsPerToken;
    private serviceEstimateMs = initialServiceMs;
    private readonly betweenTokensEstimatesMs: (number | undefined)[] = new Array(bucketCount).fill(
        undefined,
    );

    constructor(options: LatencyModelOptions = {}) {
        this.smoothing = options.smoothing ?? defaultSmoothing;
    }

    /** Estimated prefill time, in milliseconds per token. */
    get prefillMsPerToken(): number {
        return this.prefillEstimateMs;
    }

    /** Estimated time for which a request holds a slot, in milliseconds. */
    get serviceMs(): number {
        return this.serviceEstimateMs;
    }

    /**
     * Predicts the time between tokens, in milliseconds. Takes the estimate for the same concurrency, else for the
     * nearest lower one, else for the nearest higher one, else an initial value.
     *
     * @param running - number of requests that run concurrently
     */
    predictBetweenTokensMs(running: number): number {
        const bucket = toBucket(running);
        for (let index = bucket; index >= 0; index -= 1) {
            const estimate = this.betweenTokensEstimatesMs[index];
            if (estimate !== undefined) {
                return estimate;
            }
        }
        return this.betweenTokensEstimatesMs.find(estimate => estimate !== undefined)
            ?? initialBetweenTokensMs;
    }

    /** Adds a sample of the prefill time, from the first token of a request that did not wait in a queue. */
    learnPrefill(tokens: number, durationMs: number): void {
        if (tokens > 0) {
            this.prefillEstimateMs += this.smoothing * (durationMs / tokens - this.prefillEstimateMs);
        }
    }

    /** Adds a sample of the time between tokens, from a finished attempt. */
    learnDecode(running: number, tokens: number, durationMs: number): void {
        if (tokens < 2) {
            return;
        }
        const bucket = toBucket(running);
        const sample = durationMs / (tokens - 1);
        const estimate = this.betweenTokensEstimatesMs[bucket];
        this.betweenTokensEstimatesMs[bucket] = estimate === undefined
            ? sample
            : estimate + this.smoothing * (sample - estimate);
    }

    /** Adds a sample of the time for which an attempt held its slot. */
    learnService(durationMs: number): void {
        this.serviceEstimateMs += this.smoothing * (durationMs - this.serviceEstimateMs);
    }
}

const toBucket = (running: number): number =>
    Math.min(bucketCount - 1, Math.ceil(Math.log2(Math.max(1, running))));
