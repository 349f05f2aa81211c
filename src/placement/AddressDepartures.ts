import type { Clock } from "../kernel/types";

const keptMs = 60_000; // beyond it, no request that was sent before the departure is under way

/** Since when the upstreams at addresses are leaving or gone. */
export class AddressDepartures {
    /** Monotonic time of the departure by address, in milliseconds. */
    private readonly sinceMs = new Map<string, number>();

    constructor(private readonly clock: Pick<Clock, "readMonotonicMs">) {}

    /** Records that the upstream at an address is leaving or gone. A departure that is known keeps its time. */
    record(address: string): void {
        const nowMs = this.clock.readMonotonicMs();
        for (const [departed, sinceMs] of this.sinceMs) {
            if (sinceMs < nowMs - keptMs) {
                this.sinceMs.delete(departed);
            }
        }
        if (!this.sinceMs.has(address)) {
            this.sinceMs.set(address, nowMs);
        }
    }

    /** Records that an upstream at an address accepts requests. */
    clear(address: string): void {
        this.sinceMs.delete(address);
    }

    /** Whether the upstream at an address has departed for less than the given time, in milliseconds. */
    isRecent(address: string, durationMs: number): boolean {
        const sinceMs = this.sinceMs.get(address) ?? -Infinity;
        return this.clock.readMonotonicMs() - sinceMs < durationMs;
    }
}
