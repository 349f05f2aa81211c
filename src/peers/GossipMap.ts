import { hashToUint32 } from "../_lib/hashToUint32";
import { ObservableValue } from "../_lib/ObservableValue";
import { createServiceName } from "../kernel/createServiceName";
import { compareHybridTimes } from "../telemetry/compareHybridTimes";
import type { HybridClock } from "../telemetry/HybridClock";
import type { GossipEntry } from "./peerMessageSchema";

/** Options of {@link GossipMap}. */
export interface GossipMapOptions {
    readonly nodeId: string;
    readonly hybridClock: HybridClock;
}

/** Entries that changed a map, and the member that sent them. */
export interface GossipChange {
    readonly entries: readonly GossipEntry[];
    /** Undefined for this node's own writes. */
    readonly source?: string;
}

/**
 * Hints that every node holds a copy of: members, VMs and reclaim notices.
 * The latest write by hybrid time wins. Copies may be late or lost; nothing that must be agreed is kept here.
 */
export class GossipMap {
    private readonly entries = new Map<string, GossipEntry>();
    /** Sum of the entries' hashes; equal maps have equal digests. */
    private digestSum = 0;
    /** Latest batch of entries that changed this map. */
    readonly latestChange = new ObservableValue<GossipChange>({ entries: [] });

    constructor(private readonly options: GossipMapOptions) {}

    /** Digest of the whole map, an unsigned 32-bit integer. */
    get digest(): number {
        return this.digestSum;
    }

    get size(): number {
        return this.entries.size;
    }

    /**
     * Writes an entry under a new timestamp.
     *
     * @param key - the entry's key
     * @param value - plain data; undefined marks the entry as removed
     */
    set(key: string, value: unknown): void {
        this.setAll([{ key, value }]);
    }

    /** Writes several entries as one batch. */
    setAll(writes: readonly { readonly key: string; readonly value: unknown; }[]): void {
        const entries = writes.map(write => ({
            key: write.key,
            time: this.options.hybridClock.tick(),
            writer: this.options.nodeId,
            value: write.value,
        }));
        this.merge(entries);
    }

    get(key: string): unknown {
        return this.entries.get(key)?.value;
    }

    /** Values of all entries whose keys start with `prefix`, removed ones left out. */
    listValues<T>(prefix: string): T[] {
        const values: T[] = [];
        for (const entry of this.entries.values()) {
            if (entry.value !== undefined && entry.key.startsWith(prefix)) {
                values.push(entry.value as T);
            }
        }
        return values;
    }

    /** All entries, for an exchange with another node. */
    listEntries(): GossipEntry[] {
        return [...this.entries.values()];
    }

    /**
     * Takes in entries of another node.
     *
     * @param received - the entries
     * @param source - the member that sent them
     * @returns those that were newer than what was held
     */
    merge(received: readonly GossipEntry[], source?: string): readonly GossipEntry[] {
        const fresh = received.filter(entry => this.adopt(entry));
        if (fresh.length > 0) {
            this.latestChange.set({ entries: fresh, source });
        }
        return fresh;
    }

    private adopt(entry: GossipEntry): boolean {
        const held = this.entries.get(entry.key);
        if (held && compareEntries(entry, held) <= 0) {
            return false;
        }
        this.options.hybridClock.merge(entry.time);
        if (held) {
            this.digestSum = (this.digestSum - hashEntry(held)) >>> 0;
        }
        this.entries.set(entry.key, entry);
        this.digestSum = (this.digestSum + hashEntry(entry)) >>> 0;
        return true;
    }
}

const compareEntries = (a: GossipEntry, b: GossipEntry): number =>
    compareHybridTimes(a.time, b.time) || (a.writer < b.writer ? -1 : Number(a.writer > b.writer));

const hashEntry = (entry: GossipEntry): number =>
    hashToUint32(`${entry.key} ${entry.time.wallMs} ${entry.time.counter} ${entry.writer}`);

/** Name of the gossip map service. */
export const gossipMapName = createServiceName<GossipMap>("gossip-map");
