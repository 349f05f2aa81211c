import { ChangesCache } from "./ChangesCache";
import { addCounters, applyChanges } from "./counters";
import { computeMeanAgeMs, countCoveredNodes } from "./coveredNodes";
import { type LeavesSum, ReceivedParts } from "./ReceivedParts";
import type { Counters, CoveredNodes, LeavesMessage, NodeMessage, TotalMessage, WantedTotal } from "./types";

/** Options of {@link SumState}. */
export interface SumStateOptions {
    readonly processId: string;
    readonly dataCentre: string;
    /** Time for which the counters of a group count after the last message of their process, in milliseconds. */
    readonly lingerMsByGroup: Readonly<Record<string, number>>;
}

/** Sum over all nodes that an aggregator sent to this leaf. */
interface TotalPart {
    readonly fromNode: string;
    readonly includedSequence: number | undefined;
    readonly nodes: number;
    readonly counters: Counters;
    readonly atMs: number;
    readonly receivedMs: number;
}

interface OwnContribution {
    readonly sequence: number;
    readonly counters: Counters;
}

/** Counters last sent to one peer, as the base of the next changes; undefined if the next message is complete. */
interface SentState {
    isAggregator?: boolean;
    own?: Counters;
    leaves?: Counters;
    total?: Counters;
}

/** Sums of the present state, each computed when it is first needed. */
interface CachedSums {
    others?: Counters;
    total?: Counters;
    ownLeaves?: LeavesSum;
}

const retainedContributions = 32; // of this node, until the sums that include them have arrived
const noCounters: Counters = new Map();

/**
 * State of the sums over all nodes at one node, without network and timers.
 *
 * Each process contributes its own counters. A leaf sends them to the aggregators of its data centre, which send each
 * other their own counters and the sum over their leaves, and return the sum over all nodes. Contributions are kept by
 * process, and of the two aggregators of a data centre only one's sum over the leaves is used, so that nothing counts
 * twice. A leaf subtracts from the total what it had contributed to it.
 */
export class SumState {
    private isAggregator = false;
    private readonly parts: ReceivedParts;
    private total: TotalPart | undefined;
    private readonly ownContributions: OwnContribution[] = [];
    /** Monotonic time before which messages are stale, in milliseconds. */
    private freshFromMs = -Infinity;
    private readonly sent = new Map<string, SentState>();
    private cache: CachedSums = {};
    private readonly changes = new ChangesCache();

    constructor(private readonly options: SumStateOptions) {
        this.parts = new ReceivedParts(options);
    }

    setRole(isAggregator: boolean): void {
        this.isAggregator = isAggregator;
        this.clearCache();
    }

    /** Sets this node's own counters. */
    setOwn(counters: Counters): void {
        const sequence = (this.ownContributions.at(-1)?.sequence ?? 0) + 1;
        this.ownContributions.push({ sequence, counters });
        if (this.ownContributions.length > retainedContributions) {
            this.ownContributions.shift();
        }
        this.clearCache();
    }

    /** Forgets what was sent to a node, after a new link to it was set up. The next message to it is complete. */
    resetPeer(nodeId: string): void {
        this.sent.delete(nodeId);
    }

    /** Forgets what was sent to nodes other than the given ones, to which links are up. */
    keepPeers(linked: ReadonlySet<string>): void {
        for (const nodeId of this.sent.keys()) {
            if (!linked.has(nodeId)) {
                this.sent.delete(nodeId);
            }
        }
    }

    /** Records the contribution of a node, and the sum over its leaves. */
    receiveNode(fromNode: string, message: NodeMessage, nowMs: number): void {
        this.parts.receive(fromNode, message, nowMs);
        this.clearCache();
    }

    /** Records the sum over all nodes that an aggregator sent. */
    receiveTotal(fromNode: string, message: TotalMessage, nowMs: number): void {
        const base = message.isFull
            ? noCounters
            : this.total?.fromNode === fromNode
            ? this.total.counters
            : undefined;
        if (base) {
            this.clearCache();
            this.total = {
                fromNode,
                includedSequence: message.includedSequence,
                nodes: message.nodes,
                counters: applyChanges(base, message.changes),
                atMs: nowMs - message.ageMs,
                receivedMs: nowMs,
            };
        }
    }

    /**
     * Leaves out contributions that are older than a time, except for those of groups that count a while longer.
     *
     * @param freshFromMs - monotonic time of the oldest message that counts, in milliseconds
     * @param nowMs - monotonic time, in milliseconds
     */
    expire(freshFromMs: number, nowMs: number): void {
        this.clearCache();
        this.freshFromMs = freshFromMs;
        this.parts.expire(freshFromMs, nowMs);
    }

    /** Sums the counters of all other nodes, as far as they are known. */
    sumOthers(): Counters {
        this.cache.others ??= this.computeOthers();
        return this.cache.others;
    }

    /** Whether this node has the total of the given aggregator, to which its changes apply. */
    hasTotalOf(nodeId: string): boolean {
        return this.total?.fromNode === nodeId;
    }

    /** Lists the other nodes that {@link sumOthers} includes, with the time up to which it does. */
    listCovered(): CoveredNodes[] {
        const total = this.findUsedTotal();
        if (total) {
            const isIncluded = total.includedSequence !== undefined;
            return [{ nodes: total.nodes - (isIncluded ? 1 : 0), atMs: total.atMs }];
        }
        return this.parts.listCovered();
    }

    /** Creates the message with this node's contribution for an aggregator. */
    createNodeMessage(toNode: string, nowMs: number, wanted: WantedTotal): NodeMessage {
        const sent = this.getOrCreateSent(toNode);
        const own = this.ownContributions.at(-1) ?? { sequence: 0, counters: noCounters };
        const { isAggregator } = this;
        const { processId, dataCentre } = this.options;
        const hasContributor = sent.own !== undefined && sent.isAggregator === isAggregator;
        const leaves = isAggregator ? this.createLeavesMessage(sent, nowMs) : undefined;
        const message: NodeMessage = {
            kind: "node",
            ...(hasContributor ? {} : { contributor: { processId, dataCentre, isAggregator } }),
            sequence: own.sequence,
            isFull: sent.own === undefined,
            changes: this.changes.compare(sent.own ?? noCounters, own.counters),
            ...(leaves ? { leaves } : {}),
            ...(wanted === "nothing" ? {} : { wanted }),
        };
        sent.own = own.counters;
        sent.isAggregator = isAggregator;
        return message;
    }

    /**
     * Creates the message with the sum over all nodes for a leaf.
     *
     * @param wanted - what the leaf asked for
     */
    createTotalMessage(toNode: string, nowMs: number, wanted: WantedTotal): TotalMessage {
        const sent = this.getOrCreateSent(toNode);
        const base = wanted === "all" ? undefined : sent.total;
        this.cache.total ??= this.computeTotal();
        const { total } = this.cache;
        const covered = this.listCovered();
        const others = countCoveredNodes(covered);
        const nodes = 1 + others;
        const message: TotalMessage = {
            kind: "total",
            includedSequence: this.parts.findFreshSequence(toNode),
            nodes,
            ageMs: computeMeanAgeMs(covered, nowMs) * others / nodes,
            isFull: base === undefined,
            changes: this.changes.compare(base ?? noCounters, total),
        };
        sent.total = total;
        return message;
    }

    private createLeavesMessage(sent: SentState, nowMs: number): LeavesMessage {
        this.cache.ownLeaves ??= this.parts.sumOwnLeaves();
        const { sum, nodes, atMs } = this.cache.ownLeaves;
        const message: LeavesMessage = {
            nodes,
            ageMs: atMs === undefined ? 0 : nowMs - atMs,
            isFull: sent.leaves === undefined,
            changes: this.changes.compare(sent.leaves ?? noCounters, sum),
        };
        sent.leaves = sum;
        return message;
    }

    /** Finds the total that this node uses; undefined if it sums up by itself. */
    private findUsedTotal(): TotalPart | undefined {
        return this.isAggregator || !this.total || this.total.receivedMs < this.freshFromMs
            ? undefined
            : this.total;
    }

    private computeOthers(): Counters {
        const others = new Map<string, number>();
        const received = this.findUsedTotal();
        if (received) {
            addCounters(others, received.counters);
            addCounters(others, this.findOwn(received.includedSequence), -1);
        }
        else {
            this.parts.addTo(others);
        }
        return others;
    }

    private computeTotal(): Counters {
        const total = new Map(this.sumOthers());
        addCounters(total, this.ownContributions.at(-1)?.counters ?? noCounters);
        return total;
    }

    private clearCache(): void {
        this.cache = {};
    }

    private findOwn(sequence: number | undefined): Counters {
        return this.ownContributions.find(own => own.sequence === sequence)?.counters ?? noCounters;
    }

    private getOrCreateSent(nodeId: string): SentState {
        let sent = this.sent.get(nodeId);
        if (!sent) {
            sent = {};
            this.sent.set(nodeId, sent);
        }
        return sent;
    }
}
