import type { CacheEvent } from "../src/upstreams/types";

const maxKeptEvents = 2_000;

/** Prefix cache of the engine's stand-in: least recently used blocks go first, changes become events. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();
    private events: CacheEvent[] = [];
    private sequence = 0;

    constructor(private readonly capacity: number) {}

    /** Number of leading blocks that are cached; they count as used. */
    countCachedPrefix(blocks: readonly string[]): number {
        let hits = 0;
        while (hits < blocks.length && this.blocks.has(blocks[hits])) {
            this.blocks.delete(blocks[hits]);
            this.blocks.set(blocks[hits], true);
            hits += 1;
        }
        return hits;
    }

    addBlocks(blocks: readonly string[]): void {
        const fresh = blocks.filter(block => !this.blocks.has(block));
        fresh.forEach(block => this.blocks.set(block, true));
        this.emit("stored", fresh);
        const removed: string[] = [];
        while (this.blocks.size > this.capacity) {
            const oldest = this.blocks.keys().next().value!;
            this.blocks.delete(oldest);
            removed.push(oldest);
        }
        this.emit("removed", removed);
    }

    listEvents(after: number): readonly CacheEvent[] {
        return this.events.filter(event => event.sequence > after);
    }

    private emit(kind: CacheEvent["kind"], blocks: readonly string[]): void {
        if (blocks.length === 0) {
            return;
        }
        this.sequence += 1;
        this.events.push({ sequence: this.sequence, kind, blocks });
        this.events = this.events.slice(-maxKeptEvents);
    }
}
