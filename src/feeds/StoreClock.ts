import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";

/** Options of {@link StoreClock}. */
export interface StoreClockOptions {
    readonly clock: Clock;
    /** Change of the offset between wall clock and monotonic clock that indicates a suspension; default 400 ms. */
    readonly jumpThresholdMs?: number;
}

const maxCallMs = 1_000; // a call fails sooner; where it does not, this process stood still
const maxDriftRatio = 0.000_2; // of two steady clocks against each other
const defaultJumpThresholdMs = 400; // above the drift between two readings and below the safety margin of every lease

/**
 * Estimates the store's monotonic clock between its answers. It gives the age of data read from the store without
 * comparing wall clocks. The monotonic clock of a VM stops while the VM is suspended. A jump of the wall clock relative
 * to it invalidates the estimate until the store answers again.
 */
export class StoreClock {
    /** Store time minus monotonic time; the largest observed value includes the least network delay. */
    private offsetMs: number | undefined;
    /** Upper bound of the store's time minus monotonic time, and the monotonic time at which it was found. */
    private upperOffset: { readonly offsetMs: number; readonly foundMs: number; } | undefined;
    private wallOffsetMs: number;
    private readonly jumpThresholdMs: number;
    private jumps = 0;
    private readonly jumpListeners: (() => void)[] = [];

    constructor(private readonly options: StoreClockOptions) {
        this.jumpThresholdMs = options.jumpThresholdMs ?? defaultJumpThresholdMs;
        this.wallOffsetMs = this.readWallOffsetMs();
    }

    /** Adds a listener that is called when the estimate is invalidated. */
    onJump(listener: () => void): void {
        this.jumpListeners.push(listener);
    }

    /**
     * Begins a call of the store. An answer that may have waited for this machine or process counts for nothing.
     *
     * @param waitMs - time for which the store may wait before it answers, in milliseconds
     * @returns updates the estimate; to be called with the store's clock in the answer, in milliseconds
     */
    beginCall(waitMs: number): (storeMs: number) => void {
        this.resetOnJump();
        const { jumps } = this;
        const sentMs = this.options.clock.readMonotonicMs();
        return storeMs => {
            this.resetOnJump();
            const answeredMs = this.options.clock.readMonotonicMs();
            const isLate = answeredMs - sentMs > waitMs + maxCallMs;
            if (jumps === this.jumps && !(isLate && this.offsetMs === undefined)) {
                this.offsetMs = Math.max(this.offsetMs ?? -Infinity, storeMs - answeredMs);
                this.recordUpperOffset(storeMs - sentMs);
            }
        };
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

    /**
     * Computes a time on the store's clock that it has not passed yet, however late its answers were handled here. Ages
     * that are computed from it may be too high, but not too low.
     *
     * @returns milliseconds, or undefined as for {@link readStoreMs}
     */
    readLatestStoreMs(): number | undefined {
        const storeMs = this.readStoreMs();
        const upperMs = this.computeUpperOffsetMs();
        return storeMs === undefined || upperMs === undefined
            ? undefined
            : Math.max(storeMs, this.options.clock.readMonotonicMs() + upperMs);
    }

    /** Returns this VM's wall-clock time minus the store's, in milliseconds; undefined if the latter is unknown. */
    readWallMinusStoreMs(): number | undefined {
        const storeMs = this.readStoreMs();
        return storeMs === undefined ? undefined : this.options.clock.readWallMs() - storeMs;
    }

    /** Lowers the upper bound: the store's clock showed no more than its answer when the call was sent. */
    private recordUpperOffset(offsetMs: number): void {
        const upperMs = this.computeUpperOffsetMs();
        if (upperMs === undefined || offsetMs < upperMs) {
            this.upperOffset = { offsetMs, foundMs: this.options.clock.readMonotonicMs() };
        }
    }

    private computeUpperOffsetMs(): number | undefined {
        const { upperOffset } = this;
        if (!upperOffset) {
            return undefined;
        }
        const elapsedMs = this.options.clock.readMonotonicMs() - upperOffset.foundMs;
        return upperOffset.offsetMs + Math.floor(elapsedMs * maxDriftRatio);
    }

    private resetOnJump(): void {
        const wallOffsetMs = this.readWallOffsetMs();
        const hasJumped = Math.abs(wallOffsetMs - this.wallOffsetMs) > this.jumpThresholdMs;
        this.wallOffsetMs = wallOffsetMs;
        if (hasJumped) {
            this.offsetMs = undefined;
            this.upperOffset = undefined;
            this.jumps += 1;
            this.jumpListeners.forEach(listener => listener());
        }
    }

    private readWallOffsetMs(): number {
        return this.options.clock.readWallMs() - this.options.clock.readMonotonicMs();
    }
}

/** Name of the store clock service. */
export const storeClockName = createServiceName<StoreClock>("store-clock");
