import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { GossipChange, GossipMap } from "./GossipMap";
import { type GossipEntry, gossipEntrySchema } from "./peerMessageSchema";
import type { PeerLink } from "./PeerLink";

/** Options of {@link GossipReplicator}. */
export interface GossipReplicatorOptions {
    readonly gossip: GossipMap;
    readonly events: EventLog;
    /** Lists the links that are up. */
    readonly listLinks: () => Iterable<PeerLink>;
}

/** Method by which two nodes exchange their whole gossip maps. */
export const gossipExchangeMethod = "gossip.exchange";
const exchangeTimeoutMs = 2_000;
const mismatchesBeforeExchange = 2; // in a row; a single one may be due to a change that is in flight

/**
 * Replicates the gossip map. Changes are forwarded over every link except the one on which they arrived; entries that
 * were lost are repaired by an exchange of whole maps (anti-entropy) when the digests of two linked nodes keep
 * differing.
 */
export class GossipReplicator {
    /** Digest mismatches in a row, by member. */
    private readonly mismatches = new Map<string, number>();

    constructor(private readonly options: GossipReplicatorOptions) {}

    /** Starts to forward changes of the map. */
    start(): void {
        this.options.gossip.latestChange.changes.observe(change => this.forward(change)).catch(() => {});
    }

    /** Merges entries that a member sent. */
    merge(entries: readonly GossipEntry[], fromNode: string): void {
        this.options.gossip.merge(entries, fromNode);
    }

    /** Compares the digest of a member's heartbeat with the digest of this node's map. */
    compareDigest(link: PeerLink, digest: number): void {
        if (digest === this.options.gossip.digest) {
            this.mismatches.delete(link.nodeId);
            return;
        }
        const mismatches = (this.mismatches.get(link.nodeId) ?? 0) + 1;
        this.mismatches.set(link.nodeId, mismatches);
        if (mismatches >= mismatchesBeforeExchange) {
            this.mismatches.delete(link.nodeId);
            void this.exchange(link);
        }
    }

    /** Merges the whole map of a member and returns the entries of this node's map. */
    answerExchange(payload: unknown, fromNode: string): { readonly entries: readonly GossipEntry[]; } {
        const entries = this.options.gossip.listEntries();
        this.merge(parseEntries(payload), fromNode);
        return { entries };
    }

    private async exchange(link: PeerLink): Promise<void> {
        try {
            const entries = this.options.gossip.listEntries();
            const theirs = await link.call(gossipExchangeMethod, { entries }, exchangeTimeoutMs);
            this.merge(parseEntries(theirs), link.nodeId);
        }
        catch (error) {
            this.options.events.emit(eventKinds.peerRejected, { reason: String(error), peer: link.nodeId });
        }
    }

    private forward(change: GossipChange): void {
        for (const link of this.options.listLinks()) {
            if (link.nodeId !== change.source) {
                link.send({ kind: "gossip", entries: [...change.entries] });
            }
        }
    }
}

const parseEntries = (payload: unknown): GossipEntry[] => {
    const { entries } = payload as { entries?: unknown; };
    return gossipEntrySchema.array().parse(entries) as GossipEntry[];
};
