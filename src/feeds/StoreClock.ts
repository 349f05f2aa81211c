import { ObservableValue } from "../_lib/ObservableValue";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";

/** Options of {@link StoreClock}. */
export interface StoreClockOptions {
    readonly clock: Clock;
    /** Change of the offset between wall clock and monotonic clock that indicates a suspension; default 400 ms. */
    readonly jumpThresholdMs?: number;
}

const defaultJumpThresholdMs = 400; // above the drift between two readings and below the safety margin of every lease

/**
 * Estimates the store's monotonic clock between its answers. It gives the age of data read from the store without
 * comparing wall clocks. The monotonic clock of a VM stops while the VM is suspended. A jump of the wall clock relative
 * to it invalidates the estimate until the store answers again.
 */
export class StoreClock {
    /** Number of times that a known estimate was lost to a jump. Listeners are called within the reading that shows it. */
    readonly losses = new ObservableValue(0);
    /** Store time minus monotonic time; the largest observed value includes the least network delay. */
    private offsetMs: number | undefined;
    private wallOffsetMs: number;
    private readonly jumpThresholdMs: number;

    constructor(private readonly options: StoreClockOptions) {
        this.jumpThresholdMs = options.jumpThresholdMs ?? defaultJumpThresholdMs;
        this.wallOffsetMs = this.readWallOffsetMs();
    }

    /**
     * Updates the estimate from an answer of the store.
     *
     * @param storeMs - the store's clock when it answered, in milliseconds
     */
    update(storeMs: number): void {
        this.resetOnJump();
        const offsetMs = storeMs - this.options.clock.readMonotonicMs();
        this.offsetMs = Math.max(this.offsetMs ?? -Infinity, offsetMs);
    }

    /**
     * Estimates the store's clock now.
     *
     * @returns milliseconds, or undefined if the store has not answered since the start or the last suspension
     */
    readStoreMs(): number | undefined {
        this.resetOnJump();
        return this.offsetMs === undefined ? undefined : this.options.clock.readMonotonicMs() + this.offsetMs;
    }

    /** Returns this VM's wall-clock time minus the store's, in milliseconds; undefined if the latter is unknown. */
    readWallMinusStoreMs(): number | undefined {
        const storeMs = this.readStoreMs();
        return storeMs === undefined ? undefined : this.options.clock.readWallMs() - storeMs;
    }

    private resetOnJump(): void {
        const wallOffsetMs = this.readWallOffsetMs();
        const hasJumped = Math.abs(wallOffsetMs - this.wallOffsetMs) > this.jumpThresholdMs;
        this.wallOffsetMs = wallOffsetMs;
        if (hasJumped && this.offsetMs !== undefined) {
            this.offsetMs = undefined;
            this.losses.set(this.losses.value + 1);
        }
    }

    private readWallOffsetMs(): number {
        return this.options.clock.readWallMs() - this.options.clock.readMonotonicMs();
    }
}

/** Name of the store clock service. */
export const storeClockName = createServiceName<StoreClock>("store-clock");
