import type { Clock } from "../kernel/types";

/** What is known of one thing that upstreams state in their answers. */
export interface HeardState {
    /** Monotonic time at which any node last heard it, as far as this one knows, in milliseconds. */
    heardMs: number;
}

const reorderMs = 500; // an answer that does not state it may have been sent before one that does
const repeatMs = 2_000; // for nodes that send too little to hear it themselves
const expiryMs = 10_000;

/** Keeps what upstreams state in their answers for as long as some node hears it. */
export class HeardStates<S extends HeardState> {
    private readonly states = new Map<string, S>();

    constructor(private readonly clock: Clock) {}

    /** Whether nothing is kept. */
    isEmpty(): boolean {
        return this.states.size === 0;
    }

    /** Finds a state that was heard of late. */
    find(key: string): S | undefined {
        const state = this.states.get(key);
        return state && !this.isExpired(state) ? state : undefined;
    }

    /** Adds a state, and drops those that were not heard for long. */
    add(key: string, state: S): void {
        for (const [knownKey, known] of this.states) {
            if (this.isExpired(known)) {
                this.states.delete(knownKey);
            }
        }
        this.states.set(key, state);
    }

    /** Drops a state, unless it was heard a moment ago; returns whether there was one. */
    drop(key: string): boolean {
        const known = this.find(key);
        return known !== undefined && this.readSinceMs(known) >= reorderMs && this.states.delete(key);
    }

    /** Whether the other nodes are to be told a state that was heard now: it is new, or was not heard for a time. */
    isNews(known: S | undefined): boolean {
        return !known || this.readSinceMs(known) >= repeatMs;
    }

    private isExpired(state: S): boolean {
        return this.readSinceMs(state) > expiryMs;
    }

    private readSinceMs({ heardMs }: S): number {
        return this.clock.readMonotonicMs() - heardMs;
    }
}
