import type { Clock } from "../kernel/types";

/**
 * Time since its creation, by the clock that shows more of it. The monotonic clock stops while the VM is suspended, and the
 * wall clock may be set back.
 */
export class ElapsedTime {
    private readonly monotonicMs: number;
    private readonly wallMs: number;

    constructor(private readonly clock: Clock) {
        this.monotonicMs = clock.readMonotonicMs();
        this.wallMs = clock.readWallMs();
    }

    /** Returns the time, in milliseconds. */
    readMs(): number {
        return Math.max(
            this.clock.readMonotonicMs() - this.monotonicMs,
            this.clock.readWallMs() - this.wallMs,
        );
    }
}
