import type { Clock } from "../kernel/types";

/** Options of {@link HeldBytes}. */
export interface HeldBytesOptions {
    /** Bytes that all callers together may make the process hold. */
    readonly maxBytes: number;
    readonly clock: Clock;
}

/** Bytes that the process holds for one request. */
export interface Hold {
    /** Holds more bytes; returns false, and holds no more, if there is no room. */
    take(bytes: number): boolean;
    /** Records that bytes of the request have arrived. */
    markProgress(): void;
    /** Records that the whole request has arrived; it is not given up from then on. */
    markComplete(): void;
    /** Gives all bytes back; further calls have no effect. */
    release(): void;
}

/** A request for which bytes are to be held. */
export interface HoldRequest {
    /** Who the bytes are held for: a client account, or an address. */
    readonly owner: string;
    readonly bytes: number;
    /** Called if the request has stood still while others need the room; its bytes have been given back. */
    readonly onGivenUp: () => void;
}

interface HoldState extends HoldRequest {
    held: number;
    progressMs: number;
    isComplete: boolean;
}

interface Waiter extends HoldRequest {
    readonly resolve: (hold: Hold | undefined) => void;
    readonly untilMs: number;
}

const smallBytes = 16_384; // of a request that does not have to wait for large ones
const largeShare = 7 / 8; // of all bytes, for requests that are not small
const stallMs = 1_000; // a request that brings no bytes for so long is given up where others need the room
const maxWaitMs = 1_000;
const maxWaiting = 64; // what each of them has sent already waits in a buffer of 64 KiB
const sweepMs = 100;

/**
 * Bounds the bytes that callers make the process hold before their requests are answered. An owner may hold as much as is left
 * for the others; small requests keep a part for themselves, and a single request is always served. One for which there is no
 * room waits without being read. Those that stand still are given up for it.
 */
export class HeldBytes {
    private readonly holds = new Set<HoldState>();
    private readonly waiting: Waiter[] = [];
    private readonly byOwner = new Map<string, number>();
    private usedBytes = 0;
    private isSweeping = false;
    /** Requests that were refused, and those that were given up, since the start. */
    readonly counts = { refused: 0, givenUp: 0 };

    constructor(private readonly options: HeldBytesOptions) {}

    /** Bytes that are held now. */
    get used(): number {
        return this.usedBytes;
    }

    /** Requests that wait for room. */
    get waitingCount(): number {
        return this.waiting.length;
    }

    /**
     * Holds bytes for a request, and waits for room if there is none.
     *
     * @param request - owner and bytes
     * @returns undefined if there is no room in time
     */
    async hold(request: HoldRequest): Promise<Hold | undefined> {
        const hold = this.tryHold(request);
        if (hold) {
            return hold;
        }
        if (this.waiting.length >= maxWaiting) {
            this.counts.refused += 1;
            return undefined;
        }
        const untilMs = this.options.clock.readMonotonicMs() + maxWaitMs;
        const held = new Promise<Hold | undefined>(resolve =>
            this.waiting.push({ ...request, resolve, untilMs })
        );
        this.startSweeping();
        return held;
    }

    private tryHold(request: HoldRequest): Hold | undefined {
        if (!this.hasRoom(request.owner, request.bytes, 0)) {
            return undefined;
        }
        const progressMs = this.options.clock.readMonotonicMs();
        const state: HoldState = { ...request, held: 0, progressMs, isComplete: false };
        this.holds.add(state);
        this.add(state, request.bytes);
        return {
            take: bytes => this.take(state, bytes),
            markProgress: () => {
                state.progressMs = this.options.clock.readMonotonicMs();
            },
            markComplete: () => {
                state.isComplete = true;
            },
            release: () => this.release(state),
        };
    }

    /** Whether a request may hold more bytes than those that it holds already; one that is alone always may. */
    private hasRoom(owner: string, bytes: number, heldBytes: number): boolean {
        const { maxBytes } = this.options;
        if (this.usedBytes === heldBytes) {
            return true;
        }
        if (bytes <= smallBytes) {
            return this.usedBytes + bytes <= maxBytes;
        }
        const freeBytes = maxBytes * largeShare - this.usedBytes;
        const ownBytes = this.byOwner.get(owner) ?? 0;
        return ownBytes + bytes <= freeBytes;
    }

    private take(state: HoldState, bytes: number): boolean {
        if (!this.holds.has(state) || !this.hasRoom(state.owner, bytes, state.held)) {
            return false;
        }
        this.add(state, bytes);
        return true;
    }

    private add(state: HoldState, bytes: number): void {
        state.held += bytes;
        this.usedBytes += bytes;
        this.byOwner.set(state.owner, (this.byOwner.get(state.owner) ?? 0) + bytes);
    }

    private release(state: HoldState): void {
        if (!this.holds.delete(state)) {
            return;
        }
        this.usedBytes -= state.held;
        const left = (this.byOwner.get(state.owner) ?? 0) - state.held;
        if (left > 0) {
            this.byOwner.set(state.owner, left);
        }
        else {
            this.byOwner.delete(state.owner);
        }
        this.admitWaiting();
    }

    /** Admits those that wait, in order; one that finds no room does not stop those behind it. */
    private admitWaiting(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        for (const waiter of this.waiting.splice(0)) {
            const hold = this.tryHold(waiter);
            if (hold || waiter.untilMs <= nowMs) {
                this.counts.refused += hold ? 0 : 1;
                waiter.resolve(hold);
            }
            else {
                this.waiting.push(waiter);
            }
        }
    }

    private startSweeping(): void {
        if (!this.isSweeping) {
            this.isSweeping = true;
            void this.sweep();
        }
    }

    private async sweep(): Promise<void> {
        while (this.waiting.length > 0) {
            this.abortStalled();
            this.admitWaiting();
            await this.options.clock.sleep(sweepMs);
        }
        this.isSweeping = false;
    }

    private abortStalled(): void {
        const latestMs = this.options.clock.readMonotonicMs() - stallMs;
        for (const state of this.holds) {
            if (!state.isComplete && state.progressMs <= latestMs) {
                this.counts.givenUp += 1;
                this.release(state);
                state.onGivenUp();
            }
        }
    }
}
