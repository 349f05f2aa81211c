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

/** A batch of entries that changed the map. */
export interface GossipChange {
    readonly entries: readonly GossipEntry[];
    /** Member that sent the entries; undefined for this node's own writes. */
    readonly source?: string;
}

/**
 * Eventually consistent map with a replica on every node, for members, VMs and reclaim notices. The write with the
 * latest hybrid timestamp wins. Replicas may lag behind or miss entries for a while, so nothing that needs agreement is
 * kept here.
 */
export class GossipMap {
    private readonly entries = new Map<string, GossipEntry>();
    /** Sum of the entries' hashes modulo 2^32, independent of their order. */
    private digestSum = 0;
    /** Latest batch of entries that changed the map. */
    readonly latestChange = new ObservableValue<GossipChange>({ entries: [] });

    constructor(private readonly options: GossipMapOptions) {}

    /** Digest of the whole map, an unsigned 32-bit integer. Equal maps have equal digests. */
    get digest(): number {
        return this.digestSum;
    }

    get size(): number {
        return this.entries.size;
    }

    /**
     * Writes an entry with a new timestamp.
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

    /** Lists the values of all entries whose keys start with `prefix`, without removed ones. */
    listValues<T>(prefix: string): T[] {
        const values: T[] = [];
        for (const entry of this.entries.values()) {
            if (entry.value !== undefined && entry.key.startsWith(prefix)) {
                values.push(entry.value as T);
            }
        }
        return values;
    }

    /** Lists all entries, removed ones included, for an exchange with another node. */
    listEntries(): GossipEntry[] {
        return [...this.entries.values()];
    }

    /**
     * Lists the entries that another map lacks, or has in an earlier form.
     *
     * @param others - all entries of the other map
     */
    listNewer(others: readonly GossipEntry[]): GossipEntry[] {
        const known = new Map(others.map(entry => [entry.key, entry]));
        return this.listEntries().filter(entry => {
            const other = known.get(entry.key);
            return !other || compareEntries(entry, other) > 0;
        });
    }

    /**
     * Merges entries of another node; for each key, the later one is kept.
     *
     * @param received - the entries
     * @param source - the member that sent them
     * @returns the entries that were newer than those of this map
     */
    merge(received: readonly GossipEntry[], source?: string): readonly GossipEntry[] {
        const newer = received.filter(entry => this.applyIfNewer(entry));
        if (newer.length > 0) {
            this.latestChange.set({ entries: newer, source });
        }
        return newer;
    }

    private applyIfNewer(entry: GossipEntry): boolean {
        const current = this.entries.get(entry.key);
        if (current && compareEntries(entry, current) <= 0) {
            return false;
        }
        this.options.hybridClock.merge(entry.time);
        if (current) {
            this.digestSum = (this.digestSum - hashEntry(current)) >>> 0;
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
