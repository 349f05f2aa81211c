import type { Clock } from "../kernel/types";

/** Options of {@link SlidingWindowRetryBudget}. */
export interface SlidingWindowRetryBudgetOptions {
    readonly clock: Clock;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Repeats allowed for each request in the window. */
    readonly ratio: number;
    /** Repeats allowed in the window over all nodes besides. */
    readonly extra: number;
    /** Number of nodes that share {@link extra}. */
    readonly countNodes: () => number;
}

const slotCount = 20; // of the window; requests leave the count in steps of half a second at 10 s
const safetyShare = 0.8; // of the bound; nodes count windows that begin at other moments

interface Slot {
    index: number;
    requests: number;
    repeats: number;
}

/**
 * Limits the repeats of requests to one service in any span of a window's length: a share of this node's own requests
 * and its part of what all nodes have besides. Nothing needs to be told between nodes.
 */
export class SlidingWindowRetryBudget {
    private readonly slots: Slot[] = [];
    private readonly slotMs: number;

    constructor(private readonly options: SlidingWindowRetryBudgetOptions) {
        this.slotMs = options.windowMs / slotCount;
    }

    /** Counts a request's first sending. */
    countRequest(): void {
        this.openSlot().requests += 1;
    }

    /** Whether a repeat is left in this window. */
    hasRetry(): boolean {
        this.openSlot();
        const { ratio, extra, countNodes } = this.options;
        const requests = this.slots.reduce((sum, each) => sum + each.requests, 0);
        const repeats = this.slots.reduce((sum, each) => sum + each.repeats, 0);
        const allowed = requests * ratio + extra / Math.max(1, countNodes());
        return repeats + 1 <= allowed * safetyShare;
    }

    /**
     * Takes one repeat out of the budget.
     *
     * @returns false when none is left in this window
     */
    takeRetry(): boolean {
        if (!this.hasRetry()) {
            return false;
        }
        this.openSlot().repeats += 1;
        return true;
    }

    private openSlot(): Slot {
        const index = Math.floor(this.options.clock.readMonotonicMs() / this.slotMs);
        while (this.slots.length > 0 && this.slots[0].index <= index - slotCount) {
            this.slots.shift();
        }
        const last = this.slots.at(-1);
        if (last?.index === index) {
            return last;
        }
        const slot: Slot = { index, requests: 0, repeats: 0 };
        this.slots.push(slot);
        return slot;
    }
}
