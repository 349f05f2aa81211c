import { SystemClock } from "../kernel/SystemClock";
import type { Clock } from "../kernel/types";

/** Options of {@link GrowingAllowance}. */
export interface GrowingAllowanceOptions {
    /** What may be taken at once. */
    readonly initial: number;
    /** What is added each second. */
    readonly perS: number;
    /** Default: the system's clock. */
    readonly clock?: Pick<Clock, "readMonotonicMs">;
}

const msPerS = 1_000;

/** An amount that may be taken, which grows with time. */
export class GrowingAllowance {
    private readonly clock: Pick<Clock, "readMonotonicMs">;
    private readonly startMs: number;
    private taken = 0;

    constructor(private readonly options: GrowingAllowanceOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.startMs = this.clock.readMonotonicMs();
    }

    /**
     * Takes an amount.
     *
     * @param amount - the amount; a negative one adds to what may be taken
     * @returns whether no more has been taken than was allowed
     */
    take(amount: number): boolean {
        const { initial, perS } = this.options;
        this.taken += amount;
        return this.taken <= initial || this.taken <= initial + perS * this.readElapsedS();
    }

    private readElapsedS(): number {
        return (this.clock.readMonotonicMs() - this.startMs) / msPerS;
    }
}
