import type { CacheEvent } from "../src/upstreams/types";

const maxKeptEvents = 2_000;

/** Prefix cache of a simulated engine, with least-recently-used eviction and a log of changes. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();
    private events: CacheEvent[] = [];
    private sequence = 0;

    constructor(private readonly maxBlocks: number) {}

    /** Counts the leading blocks that are cached, and marks them as recently used. */
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
        const added = blocks.filter(block => !this.blocks.has(block));
        added.forEach(block => this.blocks.set(block, true));
        this.recordEvent("stored", added);
        const removed: string[] = [];
        while (this.blocks.size > this.maxBlocks) {
            const oldest = this.blocks.keys().next().value!;
            this.blocks.delete(oldest);
            removed.push(oldest);
        }
        this.recordEvent("removed", removed);
    }

    listEvents(after: number): readonly CacheEvent[] {
        return this.events.filter(event => event.sequence > after);
    }

    private recordEvent(kind: CacheEvent["kind"], blocks: readonly string[]): void {
        if (blocks.length === 0) {
            return;
        }
        this.sequence += 1;
        this.events.push({ sequence: this.sequence, kind, blocks });
        this.events = this.events.slice(-maxKeptEvents);
    }
}
