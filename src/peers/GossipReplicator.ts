import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { GossipChange, GossipMap } from "./GossipMap";
import { type GossipEntry, gossipEntrySchema } from "./peerMessageSchema";
import type { PeerLink } from "./PeerLink";

/** Options of {@link GossipReplicator}. */
export interface GossipReplicatorOptions {
    readonly gossip: GossipMap;
    readonly events: EventLog;
    /** Links that are up. */
    readonly listLinks: () => Iterable<PeerLink>;
}

/** Method by which two nodes exchange whole gossip maps. */
export const gossipExchangeMethod = "gossip.exchange";
const exchangeTimeoutMs = 2_000;
const mismatchesToExchange = 2; // in a row; a single one may be a change that is on its way

/** Keeps the nodes' gossip maps equal: passes changes on, and exchanges whole maps where digests go on differing. */
export class GossipReplicator {
    private readonly mismatches = new Map<string, number>();

    constructor(private readonly options: GossipReplicatorOptions) {}

    /** Passes each change of the map on from now on. */
    start(): void {
        this.options.gossip.latestChange.changes.observe(change => this.spread(change)).catch(() => {});
    }

    /** Takes in entries that a member sent. */
    merge(entries: readonly GossipEntry[], fromNode: string): void {
        this.options.gossip.merge(entries, fromNode);
    }

    /** Compares a member's digest with that of the own map. */
    compareDigest(link: PeerLink, digest: number): void {
        if (digest === this.options.gossip.digest) {
            this.mismatches.delete(link.nodeId);
            return;
        }
        const mismatches = (this.mismatches.get(link.nodeId) ?? 0) + 1;
        this.mismatches.set(link.nodeId, mismatches);
        if (mismatches >= mismatchesToExchange) {
            this.mismatches.delete(link.nodeId);
            void this.exchange(link);
        }
    }

    /** Answers a member that sent its whole map. */
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

    private spread(change: GossipChange): void {
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
