/** What was learned of one runner's speed from requests that ran on it. */

/** Options of {@link LatencyModel}. */
export interface LatencyModelOptions {
    /** Weight of a new sample; default 0.2. */
    readonly smoothing?: number;
}

const defaultSmoothing = 0.2;
const firstPrefillMsPerToken = 0.1; // 10,000 tokens/s until a sample says otherwise
const firstBetweenTokensMs = 10;
const firstServiceMs = 4_000;
const bucketCount = 12; // powers of two of concurrently running requests

/** Learns prefill time, time between tokens and service time. */
export class LatencyModel {
    private readonly smoothing: number;
    private prefill = firstPrefillMsPerToken;
    private service = firstServiceMs;
    private readonly between: (number | undefined)[] = new Array(bucketCount).fill(undefined);

    constructor(options: LatencyModelOptions = {}) {
        this.smoothing = options.smoothing ?? defaultSmoothing;
    }

    /** Learned prefill time, in milliseconds per token. */
    get prefillMsPerToken(): number {
        return this.prefill;
    }

    /** Learned time for which a request holds a slot, in milliseconds. */
    get serviceMs(): number {
        return this.service;
    }

    /**
     * Time between tokens with a number of requests running, in milliseconds. Takes the nearest learned
     * concurrency and scales it up when more requests run than were ever seen.
     */
    predictBetweenTokensMs(running: number): number {
        const bucket = toBucket(running);
        for (let below = bucket; below >= 0; below -= 1) {
            const learned = this.between[below];
            if (learned !== undefined) {
                return learned;
            }
        }
        return this.between.find(learned => learned !== undefined) ?? firstBetweenTokensMs;
    }

    /** Learns from the first token of a request that did not wait in a queue. */
    learnPrefill(tokens: number, durationMs: number): void {
        if (tokens > 0) {
            this.prefill += this.smoothing * (durationMs / tokens - this.prefill);
        }
    }

    /** Learns from a finished attempt. */
    learnDecode(running: number, tokens: number, durationMs: number): void {
        if (tokens < 2) {
            return;
        }
        const bucket = toBucket(running);
        const sample = durationMs / (tokens - 1);
        const learned = this.between[bucket];
        this.between[bucket] = learned === undefined ? sample : learned + this.smoothing * (sample - learned);
    }

    /** Learns how long an attempt held its slot. */
    learnService(durationMs: number): void {
        this.service += this.smoothing * (durationMs - this.service);
    }
}

const toBucket = (running: number): number =>
    Math.min(bucketCount - 1, Math.ceil(Math.log2(Math.max(1, running))));
