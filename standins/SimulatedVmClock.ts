import type { FakeClock } from "../src/kernel/FakeClock";
import type { Clock } from "../src/kernel/types";

/**
 * Clocks of a simulated VM. Its process can be frozen: time goes on and nothing runs. The VM can be suspended: its
 * monotonic clock stands still as well, and its wall clock does not. Its wall clock can be stepped.
 */
export class SimulatedVmClock implements Clock {
    private resumed: Promise<void> = Promise.resolve();
    private onResume: () => void = () => {};
    private isHeld = false;
    private suspendedFromMs: number | undefined;
    private suspendedMs = 0;
    private wallOffsetMs = 0;

    constructor(private readonly world: FakeClock) {}

    /** Whether nothing runs now, be it frozen or suspended. */
    get isPaused(): boolean {
        return this.isHeld;
    }

    get isSuspended(): boolean {
        return this.suspendedFromMs !== undefined;
    }

    readMonotonicMs(): number {
        return (this.suspendedFromMs ?? this.world.readMonotonicMs()) - this.suspendedMs;
    }

    readWallMs(): number {
        return this.world.readWallMs() + this.wallOffsetMs;
    }

    async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        const endMs = this.readMonotonicMs() + delayMs;
        do {
            await this.world.sleep(Math.max(0, endMs - this.readMonotonicMs()), signal);
            await this.resumed;
        }
        while (this.readMonotonicMs() < endMs && !signal?.aborted);
    }

    /** Freezes the process. */
    pause(): void {
        if (!this.isHeld) {
            this.isHeld = true;
            this.resumed = new Promise(resolve => this.onResume = resolve);
        }
    }

    /** Suspends the VM. */
    pauseWithClock(): void {
        this.pause();
        this.suspendedFromMs ??= this.world.readMonotonicMs();
    }

    /** Ends a freeze or a suspension. */
    resume(): void {
        if (this.suspendedFromMs !== undefined) {
            this.suspendedMs += this.world.readMonotonicMs() - this.suspendedFromMs;
            this.suspendedFromMs = undefined;
        }
        this.isHeld = false;
        this.onResume();
    }

    /** Moves the wall clock. */
    step(byMs: number): void {
        this.wallOffsetMs += byMs;
    }
}
