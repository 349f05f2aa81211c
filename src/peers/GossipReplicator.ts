import type { Clock } from "../kernel/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { GossipChange, GossipMap } from "./GossipMap";
import { type GossipEntry, gossipEntrySchema } from "./peerMessageSchema";
import type { PeerLink } from "./PeerLink";
import type { LinkPlan } from "./planLinks";
import { selectRelayTargets } from "./selectRelayTargets";

/** Options of {@link GossipReplicator}. */
export interface GossipReplicatorOptions {
    readonly nodeId: string;
    readonly gossip: GossipMap;
    readonly events: EventLog;
    /** Lists the links that are up. */
    readonly listLinks: () => Iterable<PeerLink>;
    readonly readPlan: () => LinkPlan;
    readonly clock: Clock;
}

/** Method by which two nodes exchange their whole gossip maps. */
export const gossipExchangeMethod = "gossip.exchange";
const exchangeTimeoutMs = 2_000;
const batchMs = 20; // when many members change at once, few frames carry the changes
const mismatchesBeforeExchange = 2; // in a row; a single one may be due to a change that is in flight

/**
 * Replicates the gossip map. Changes are forwarded along the tree of links; entries that were lost are repaired by an exchange of whole maps (anti-entropy) when the digests of two linked nodes keep
 * differing.
 */
export class GossipReplicator {
    /** Digest mismatches in a row, by member. */
    private readonly mismatches = new Map<string, number>();
    /** Changed entries that have not been forwarded yet, by the member that sent them and by key. */
    private pending = new Map<string | undefined, Map<string, GossipEntry>>();

    constructor(private readonly options: GossipReplicatorOptions) {}

    /** Starts to forward changes of the map. */
    start(): void {
        this.options.gossip.latestChange.changes.observe(change => this.enqueue(change)).catch(() => {});
    }

    /** Forwards all changes now. */
    flush(): void {
        const links = [...this.options.listLinks()];
        const linked = links.map(link => link.nodeId);
        const plan = this.options.readPlan();
        const batches = new Map(links.map(link => [link.nodeId, [] as GossipEntry[]]));
        for (const [source, entries] of this.pending) {
            selectRelayTargets({ plan, linked, source }).forEach(nodeId =>
                batches.get(nodeId)!.push(...entries.values())
            );
        }
        this.pending = new Map();
        links.filter(link => batches.get(link.nodeId)!.length > 0)
            .forEach(link => link.send({ kind: "gossip", entries: batches.get(link.nodeId)! }));
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
        if (!link.isCompared) {
            link.isCompared = true;
            if (this.options.nodeId < link.nodeId) {
                void this.exchange(link); // on a new link the maps differ for good
            }
            return;
        }
        const mismatches = (this.mismatches.get(link.nodeId) ?? 0) + 1;
        this.mismatches.set(link.nodeId, mismatches);
        if (mismatches >= mismatchesBeforeExchange) {
            this.mismatches.delete(link.nodeId);
            void this.exchange(link);
        }
    }

    /** Merges the whole map of a member and returns the entries that it lacks. */
    answerExchange(payload: unknown, fromNode: string): { readonly entries: readonly GossipEntry[]; } {
        const theirs = parseEntries(payload);
        const entries = this.options.gossip.listNewer(theirs);
        this.merge(theirs, fromNode);
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

    private enqueue({ entries, source }: GossipChange): void {
        if (this.pending.size === 0) {
            void this.options.clock.sleep(batchMs).then(() => this.flush());
        }
        const batch = this.pending.get(source) ?? new Map<string, GossipEntry>();
        entries.forEach(entry => batch.set(entry.key, entry));
        this.pending.set(source, batch);
    }
}

const parseEntries = (payload: unknown): GossipEntry[] => {
    const { entries } = payload as { entries?: unknown; };
    return gossipEntrySchema.array().parse(entries) as GossipEntry[];
};
