/** Input of {@link GivenUpRequests.hasPlace}. */
export interface HasPlaceOptions {
    /** Places at the upstream that this node may use. */
    readonly places: number;
    /** Requests of this node in flight there. */
    readonly inFlight: number;
    /** Latest monotonic time at which a request was sent that the upstream has answered, in milliseconds. */
    readonly answeredSentMs: number;
    /** Present monotonic time, in milliseconds. */
    readonly nowMs: number;
}

const minProbeIntervalMs = 1_000;
const maxProbeIntervalMs = 4_000; // an upstream that reads on is used again after this time at most

/**
 * Requests to one upstream that were given up after they had been written. An upstream that has answered no request that
 * was sent after that may not have read them nor their end, and would run all of them at once.
 */
export class GivenUpRequests {
    /** Monotonic times at which they were given up, in milliseconds. */
    private timesMs: number[] = [];

    /** Adds a request that is given up now. */
    add(nowMs: number): void {
        this.timesMs.push(nowMs);
    }

    /**
     * Whether the upstream has a place left. Those of requests that were given up count as taken until the upstream answers a
     * later one. Where these leave none, it gets one request at a time, at growing intervals.
     *
     * @param options - places and requests
     * @returns whether a request may be sent
     */
    hasPlace({ places, inFlight, answeredSentMs, nowMs }: HasPlaceOptions): boolean {
        this.timesMs = this.timesMs.filter(atMs => atMs > answeredSentMs);
        if (inFlight + this.timesMs.length < places) {
            return true;
        }
        const [firstMs = nowMs] = this.timesMs;
        const lastMs = this.timesMs.at(-1) ?? nowMs;
        const intervalMs = Math.min(maxProbeIntervalMs, Math.max(minProbeIntervalMs, lastMs - firstMs));
        return inFlight === 0 && places > 0 && nowMs - lastMs >= intervalMs;
    }
}
