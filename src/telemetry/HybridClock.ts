import type { Clock } from "../kernel/types";
import type { HybridTime } from "./types";

/**
 * Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014). Its timestamps follow the wall clock,
 * strictly increase, and are later than every timestamp that was merged.
 */
export class HybridClock {
    private wallMs = 0;
    private counter = 0;

    constructor(private readonly clock: Clock) {}

    /** Advances the clock for a local event and returns the event's timestamp. */
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
     * Advances the clock to a timestamp from another process if that is later than the last own one.
     *
     * @param received - timestamp of the received message
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
