import type { Clock } from "../kernel/types";
import type { HybridTime } from "./types";

/**
 * Hybrid logical clock: follows the wall clock and never goes back or behind a received timestamp.
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export class HybridClock {
    private wallMs = 0;
    private counter = 0;

    constructor(private readonly clock: Clock) {}

    /** Timestamp for a local event. */
    tick(): HybridTime {
        const nowMs = this.clock.readWallMs();
        if (nowMs > this.wallMs) {
            this.wallMs = nowMs;
            this.counter = 0;
        }
        else {
            this.counter += 1;
        }
        return { wallMs: this.wallMs, counter: this.counter };
    }

    /**
     * Moves past a timestamp that another process sent.
     *
     * @param received - the sender's timestamp
     */
    merge(received: HybridTime): void {
        if (received.wallMs > this.wallMs) {
            this.wallMs = received.wallMs;
            this.counter = received.counter;
        }
        else if (received.wallMs === this.wallMs) {
            this.counter = Math.max(this.counter, received.counter);
        }
    }
}
