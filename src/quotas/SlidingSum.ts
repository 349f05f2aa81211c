/** Options of {@link SlidingSum}. */
export interface SlidingSumOptions {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Number of parts in which the window moves on; default 32. */
    readonly slots?: number;
}

interface Slot {
    readonly endsMs: number;
    amount: number;
}

const defaultSlots = 32;

/** Sum of the amounts of the last window. An amount counts until the whole slot in which it was added is older. */
export class SlidingSum {
    private readonly slotMs: number;
    private slots: Slot[] = [];

    constructor(private readonly options: SlidingSumOptions) {
        this.slotMs = options.windowMs / (options.slots ?? defaultSlots);
    }

    /**
     * Adds an amount.
     *
     * @param nowMs - monotonic time, in milliseconds
     * @param amount - what is added; negative to take back
     */
    add(nowMs: number, amount: number): void {
        const last = this.slots.at(-1);
        if (last && nowMs < last.endsMs) {
            last.amount += amount;
            return;
        }
        this.slots.push({ endsMs: nowMs + this.slotMs, amount });
    }

    /**
     * Reads the sum.
     *
     * @param nowMs - monotonic time, in milliseconds
     * @returns sum of the amounts of the last window
     */
    read(nowMs: number): number {
        const oldestMs = nowMs - this.options.windowMs;
        while (this.slots.length > 0 && this.slots[0].endsMs <= oldestMs) {
            this.slots.shift();
        }
        return this.slots.reduce((sum, slot) => sum + slot.amount, 0);
    }
}
