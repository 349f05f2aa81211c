import { addCounters, applyChanges } from "./counters";
import type { Contributor, Counters, CoveredNodes, LeavesMessage, NodeMessage } from "./types";

/** Options of {@link ReceivedParts}. */
export interface ReceivedPartsOptions {
    readonly dataCentre: string;
    /** Time for which the counters of a group count after the last message of their process, in milliseconds. */
    readonly lingerMsByGroup: Readonly<Record<string, number>>;
}

/** Sum over the leaves that report to this node. */
export interface LeavesSum {
    readonly sum: Counters;
    readonly nodes: number;
    /** Mean monotonic time at which their contributions arrived, in milliseconds; undefined if there are none. */
    readonly atMs: number | undefined;
}

/** Contribution of another process. */
interface NodePart extends Contributor {
    readonly nodeId: string;
    readonly sequence: number;
    readonly counters: Counters;
    readonly receivedMs: number;
    /** Whether the node is known to run another process. */
    readonly isReplaced: boolean;
}

/** Sum over the leaves of a data centre, as one of its aggregators sent it. */
interface LeavesPart {
    readonly dataCentre: string;
    readonly nodes: number;
    readonly counters: Counters;
    /** Monotonic time up to which the contributions are included, in milliseconds. */
    readonly atMs: number;
    readonly receivedMs: number;
}

const retainedMs = 60_000; // what is no longer counted is kept as the base of later changes
const noCounters: Counters = new Map();

/** What an aggregator has received: contributions by process, and other aggregators' sums over their leaves. */
export class ReceivedParts {
    /** Parts by process. */
    private readonly nodeParts = new Map<string, NodePart>();
    /** Sums over leaves by the aggregator that sent them. */
    private readonly leavesParts = new Map<string, LeavesPart>();
    /** Monotonic time before which messages are stale, in milliseconds. */
    private freshFromMs = -Infinity;
    private nowMs = 0;
    private readonly maxLingerMs: number;

    constructor(private readonly options: ReceivedPartsOptions) {
        this.maxLingerMs = Math.max(0, ...Object.values(options.lingerMsByGroup));
    }

    /** Records the contribution of a node, and the sum over its leaves. */
    receive(fromNode: string, message: NodeMessage, nowMs: number): void {
        const { sequence } = message;
        const contributor = message.contributor ?? this.findPart(fromNode);
        if (!contributor) {
            return;
        }
        const { processId, dataCentre, isAggregator } = contributor;
        const before = this.nodeParts.get(processId);
        const base = message.isFull ? noCounters : before?.counters;
        if (!base || (before && sequence <= before.sequence)) {
            return; // the sender repeats all counters on a new link
        }
        this.markReplaced(fromNode, processId);
        const counters = applyChanges(base, message.changes);
        this.nodeParts.set(processId, {
            nodeId: fromNode,
            processId,
            dataCentre,
            isAggregator,
            sequence,
            counters,
            receivedMs: nowMs,
            isReplaced: false,
        });
        if (message.leaves) {
            this.receiveLeaves(fromNode, dataCentre, message.leaves, nowMs);
        }
    }

    /**
     * Sets which messages are stale, and drops those that are too old even as the base of changes.
     *
     * @param freshFromMs - monotonic time of the oldest message that counts, in milliseconds
     * @param nowMs - monotonic time, in milliseconds
     */
    expire(freshFromMs: number, nowMs: number): void {
        this.freshFromMs = freshFromMs;
        this.nowMs = nowMs;
        for (const parts of [this.nodeParts, this.leavesParts]) {
            for (const [key, part] of parts) {
                if (part.receivedMs < nowMs - retainedMs) {
                    parts.delete(key);
                }
            }
        }
    }

    /** Adds all counters that count now to a sum. */
    addTo(sum: Map<string, number>): void {
        this.listDirectParts().forEach(part => addCounters(sum, this.countPart(part)));
        this.chooseLeavesParts().forEach(part => addCounters(sum, part.counters));
    }

    /** Lists the nodes whose counters {@link addTo} adds. */
    listCovered(): CoveredNodes[] {
        return [
            ...this.listDirectParts()
                .filter(part => this.isCovered(part))
                .map(part => ({ nodes: 1, atMs: part.receivedMs })),
            ...this.chooseLeavesParts().map(part => ({ nodes: part.nodes, atMs: part.atMs })),
        ];
    }

    /** Sums the counters of the leaves of this node's data centre. */
    sumOwnLeaves(): LeavesSum {
        const sum = new Map<string, number>();
        const known = this.listDirectParts().filter(part => this.isOwnLeaf(part));
        known.forEach(part => addCounters(sum, this.countPart(part)));
        const fresh = known.filter(part => this.isFresh(part));
        const timeSumMs = fresh.reduce((total, part) => total + part.receivedMs, 0);
        return { sum, nodes: fresh.length, atMs: fresh.length === 0 ? undefined : timeSumMs / fresh.length };
    }

    /** Returns the number of a node's contribution that counts now; undefined if there is none. */
    findFreshSequence(nodeId: string): number | undefined {
        const part = this.findPart(nodeId);
        return part && this.isFresh(part) ? part.sequence : undefined;
    }

    private receiveLeaves(fromNode: string, dataCentre: string, message: LeavesMessage, nowMs: number): void {
        const base = message.isFull ? noCounters : this.leavesParts.get(fromNode)?.counters;
        if (base) {
            this.leavesParts.set(fromNode, {
                dataCentre,
                nodes: message.nodes,
                counters: applyChanges(base, message.changes),
                atMs: nowMs - message.ageMs,
                receivedMs: nowMs,
            });
        }
    }

    private isOwnLeaf(part: Pick<NodePart, "dataCentre" | "isAggregator">): boolean {
        return !part.isAggregator && part.dataCentre === this.options.dataCentre;
    }

    private isFresh(part: Pick<NodePart, "receivedMs" | "isReplaced">): boolean {
        return !part.isReplaced && part.receivedMs >= this.freshFromMs;
    }

    /** Whether the process may still run and any of its counters may count. */
    private isCovered(part: NodePart): boolean {
        return this.isFresh(part) || (!part.isReplaced && part.receivedMs + this.maxLingerMs > this.nowMs);
    }

    /** Returns the counters of a part that count now. */
    private countPart(part: NodePart): Counters {
        if (this.isFresh(part)) {
            return part.counters;
        }
        const { lingerMsByGroup } = this.options;
        const isCounted = (name: string): boolean =>
            part.receivedMs + (lingerMsByGroup[name.split("/", 1)[0]] ?? -Infinity) > this.nowMs;
        return new Map([...part.counters].filter(([name]) => isCounted(name)));
    }

    /** Lists the nodes whose own contributions count: the aggregators, and the leaves of this data centre. */
    private listDirectParts(): NodePart[] {
        return [...this.nodeParts.values()].filter(part => part.isAggregator || this.isOwnLeaf(part));
    }

    /** Chooses, for each other data centre, the sum over the most leaves; equal ones by the aggregator's name. */
    private chooseLeavesParts(): LeavesPart[] {
        const chosen = new Map<string, LeavesPart>();
        for (const nodeId of [...this.leavesParts.keys()].sort()) {
            const part = this.leavesParts.get(nodeId)!;
            const best = chosen.get(part.dataCentre);
            const isUsable = part.dataCentre !== this.options.dataCentre
                && part.receivedMs >= this.freshFromMs;
            if (isUsable && part.nodes > (best?.nodes ?? -1)) {
                chosen.set(part.dataCentre, part);
            }
        }
        return [...chosen.values()];
    }

    /** Finds the part of a node's present process. */
    private findPart(nodeId: string): NodePart | undefined {
        return [...this.nodeParts.values()].find(part => part.nodeId === nodeId && !part.isReplaced);
    }

    private markReplaced(nodeId: string, processId: string): void {
        for (const [known, part] of this.nodeParts) {
            if (part.nodeId === nodeId && known !== processId && !part.isReplaced) {
                this.nodeParts.set(known, { ...part, isReplaced: true });
            }
        }
    }
}
