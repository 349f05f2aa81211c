/** Options of {@link SlidingWindowSum}. */
export interface SlidingWindowSumOptions {
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Number of slots into which the window is divided; default 128. */
    readonly slots?: number;
}

interface Slot {
    readonly startsMs: number;
    amount: number;
}

const defaultSlots = 128;

/** Sum of the amounts added in a sliding window. An amount counts until its whole slot is older than the window. */
export class SlidingWindowSum {
    private readonly slotMs: number;
    private slots: Slot[] = [];

    constructor(private readonly options: SlidingWindowSumOptions) {
        this.slotMs = options.windowMs / (options.slots ?? defaultSlots);
    }

    /**
     * Adds an amount.
     *
     * @param nowMs - monotonic time, in milliseconds
     * @param amount - amount to add; negative to subtract
     */
    add(nowMs: number, amount: number): void {
        const last = this.slots.at(-1);
        if (last && nowMs < last.startsMs + this.slotMs) {
            last.amount += amount;
            return;
        }
        this.slots.push({ startsMs: nowMs, amount });
    }

    /**
     * Takes back an amount; no effect once it has left the window.
     *
     * @param addedMs - monotonic time at which it was added, in milliseconds
     * @param amount - the amount
     */
    remove(addedMs: number, amount: number): void {
        const slot = this.slots.findLast(({ startsMs }) => startsMs <= addedMs);
        if (slot) {
            slot.amount -= amount;
        }
    }

    /**
     * Reads the sum and drops slots that have left the window.
     *
     * @param nowMs - monotonic time, in milliseconds
     * @returns sum of the amounts added in the last window
     */
    read(nowMs: number): number {
        const oldestMs = nowMs - this.options.windowMs - this.slotMs;
        while (this.slots.length > 0 && this.slots[0].startsMs <= oldestMs) {
            this.slots.shift();
        }
        return this.slots.reduce((sum, slot) => sum + slot.amount, 0);
    }

    /**
     * Reads the sum of the slots that began after a given time.
     *
     * @param sinceMs - monotonic time, in milliseconds
     * @returns sum of the amounts in these slots
     */
    readSince(sinceMs: number): number {
        let sum = 0;
        for (
            let index = this.slots.length - 1;
            index >= 0 && this.slots[index].startsMs > sinceMs;
            index -= 1
        ) {
            sum += this.slots[index].amount;
        }
        return sum;
    }
}
