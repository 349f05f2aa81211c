import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";

/** Options of {@link StoreClock}. */
export interface StoreClockOptions {
    readonly clock: Clock;
    /** Change between the wall clock and the steady clock that is taken for a suspension; default 400 ms. */
    readonly jumpThresholdMs?: number;
}

const defaultJumpMs = 400; // above the drift between two readings and below every lease's margin

/**
 * Estimates the store's steady clock between its answers, so that the age of what was read is known without comparing
 * wall clocks. The steady clock of a VM stands still while the VM is suspended; a jump of the wall clock against it
 * voids the estimate until the store answers again.
 */
export class StoreClock {
    /** Store time minus monotonic time; the smallest seen has the least network delay in it. */
    private offsetMs: number | undefined;
    private wallOffsetMs: number;
    private readonly jumpMs: number;

    constructor(private readonly options: StoreClockOptions) {
        this.jumpMs = options.jumpThresholdMs ?? defaultJumpMs;
        this.wallOffsetMs = this.readWallOffset();
    }

    /**
     * Takes in the store's clock from an answer.
     *
     * @param storeMs - the store's clock when it answered
     */
    update(storeMs: number): void {
        this.checkJump();
        const offsetMs = storeMs - this.options.clock.readMonotonicMs();
        this.offsetMs = Math.max(this.offsetMs ?? -Infinity, offsetMs);
    }

    /**
     * Estimates the store's clock now.
     *
     * @returns milliseconds, or undefined when nothing was heard since the start or a suspension
     */
    readStoreMs(): number | undefined {
        this.checkJump();
        return this.offsetMs === undefined ? undefined : this.options.clock.readMonotonicMs() + this.offsetMs;
    }

    /** Wall-clock time of this VM minus the store's clock, or undefined when the latter is not known. */
    readWallMinusStoreMs(): number | undefined {
        const storeMs = this.readStoreMs();
        return storeMs === undefined ? undefined : this.options.clock.readWallMs() - storeMs;
    }

    private checkJump(): void {
        const wallOffsetMs = this.readWallOffset();
        if (Math.abs(wallOffsetMs - this.wallOffsetMs) > this.jumpMs) {
            this.offsetMs = undefined;
        }
        this.wallOffsetMs = wallOffsetMs;
    }

    private readWallOffset(): number {
        return this.options.clock.readWallMs() - this.options.clock.readMonotonicMs();
    }
}

/** Name of the store clock service. */
export const storeClockName = createServiceName<StoreClock>("store-clock");
