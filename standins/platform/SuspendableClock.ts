import { SystemClock } from "../../src/kernel/SystemClock";

/**
 * Clock of a machine that can be suspended: no code runs meanwhile, so that both clocks stand still until the machine goes on;
 * then the time of day has moved and the steady clock has not. The time of day can also be set.
 */
export class SuspendableClock extends SystemClock {
    private pausedAtMs: number | undefined;
    private lostMs = 0;
    private wallStepsMs = 0;

    override readWallMs(): number {
        const sincePauseMs = super.readMonotonicMs() - (this.pausedAtMs ?? super.readMonotonicMs());
        return Math.floor(super.readWallMs() - sincePauseMs + this.wallStepsMs);
    }

    override readMonotonicMs(): number {
        return (this.pausedAtMs ?? super.readMonotonicMs()) - this.lostMs;
    }

    /** Moves the time of day, by milliseconds. */
    stepWall(durationMs: number): void {
        this.wallStepsMs += durationMs;
    }

    pause(): void {
        this.pausedAtMs = super.readMonotonicMs();
    }

    resume(): void {
        this.lostMs += super.readMonotonicMs() - (this.pausedAtMs ?? super.readMonotonicMs());
        this.pausedAtMs = undefined;
    }
}
