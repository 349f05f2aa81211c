import type { Clock } from "../kernel/types";

/** Options of {@link SlidingWindowRetryBudget}. */
export interface SlidingWindowRetryBudgetOptions {
    readonly clock: Clock;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
    /** Retries allowed for each request in the window. */
    readonly ratio: number;
    /** Additional retries allowed in the window, over all nodes together. */
    readonly extra: number;
    /** Number of nodes that share {@link extra}. */
    readonly countNodes: () => number;
}

const slotCount = 20; // of the window; at 10 s, requests leave the window in steps of half a second
const safetyFactor = 0.8; // of the limit; the windows of the nodes do not begin at the same time

/** An attempt that was given up without an answer, and that its upstream may read at any later time. */
export interface GivenUpAttempt {
    /** Whether it has arrived by now, if it ever does. */
    readonly hasArrived: () => boolean;
}

interface HeldRetry {
    readonly attempt: GivenUpAttempt;
    /** Monotonic time, in milliseconds. */
    readonly takenMs: number;
}

interface Slot {
    index: number;
    requests: number;
    retries: number;
}

/**
 * Limits the retries of requests to one service in a sliding window: a share of this node's own requests plus its equal
 * part of the additional retries of all nodes. The nodes need no coordination.
 *
 * What is limited is the number of attempts that arrive after the first one of their request. An attempt that was given up may
 * arrive after its retry; the retry then counts until that is known, for one window at most, and in the window after it.
 */
export class SlidingWindowRetryBudget {
    private readonly slots: Slot[] = [];
    private held: HeldRetry[] = [];
    private readonly slotMs: number;

    constructor(private readonly options: SlidingWindowRetryBudgetOptions) {
        this.slotMs = options.windowMs / slotCount;
    }

    /** Counts the first attempt of a request. */
    countRequest(): void {
        this.getCurrentSlot().requests += 1;
    }

    /** Whether a retry is left in the current window. */
    hasRetry(): boolean {
        this.settleHeld();
        const { ratio, extra, countNodes } = this.options;
        const requests = this.slots.reduce((sum, each) => sum + each.requests, 0);
        const retries = this.slots.reduce((sum, each) => sum + each.retries, this.held.length);
        const allowed = requests * ratio + extra / Math.max(1, countNodes());
        return retries + 1 <= allowed * safetyFactor;
    }

    /**
     * Takes one retry from the budget.
     *
     * @param givenUp - the attempt before it, if that was given up and may arrive later
     * @returns false if none is left in the current window
     */
    takeRetry(givenUp?: GivenUpAttempt): boolean {
        if (!this.hasRetry()) {
            return false;
        }
        if (givenUp) {
            this.held.push({ attempt: givenUp, takenMs: this.options.clock.readMonotonicMs() });
        }
        else {
            this.getCurrentSlot().retries += 1;
        }
        return true;
    }

    /** Counts retries from now on for one window where the attempts before them have arrived, or were given up long ago. */
    private settleHeld(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const isOpen = ({ attempt, takenMs }: HeldRetry): boolean =>
            nowMs - takenMs < this.options.windowMs && !attempt.hasArrived();
        const open = this.held.filter(isOpen);
        this.getCurrentSlot().retries += this.held.length - open.length;
        this.held = open;
    }

    private getCurrentSlot(): Slot {
        const index = Math.floor(this.options.clock.readMonotonicMs() / this.slotMs);
        while (this.slots.length > 0 && this.slots[0].index <= index - slotCount) {
            this.slots.shift();
        }
        const last = this.slots.at(-1);
        if (last?.index === index) {
            return last;
        }
        const slot: Slot = { index, requests: 0, retries: 0 };
        this.slots.push(slot);
        return slot;
    }
}
