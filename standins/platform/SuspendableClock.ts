import { SystemClock } from "../../src/kernel/SystemClock";

/** Clock of a machine that can be suspended: the steady clock doesn't count that time, the time of day does. */
export class SuspendableClock extends SystemClock {
    private suspendedAtMs: number | undefined;
    private lostMs = 0;

    override readMonotonicMs(): number {
        return (this.suspendedAtMs ?? super.readMonotonicMs()) - this.lostMs;
    }

    pause(): void {
        this.suspendedAtMs = super.readMonotonicMs();
    }

    resume(): void {
        this.lostMs += super.readMonotonicMs() - (this.suspendedAtMs ?? super.readMonotonicMs());
        this.suspendedAtMs = undefined;
    }
}
