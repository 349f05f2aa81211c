import { z } from "zod";
import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeMeanAgeMs, countCoveredNodes } from "./coveredNodes";
import { SumState } from "./SumState";
import type { CoveredNodes, SumMessage, WantedTotal } from "./types";

/** Options of {@link ClusterSums}. */
export interface ClusterSumsOptions {
    readonly nodeId: string;
    /** Unique for each process; distinguishes successive processes of one node. */
    readonly processId: string;
    readonly dataCentre: string;
    readonly network: Pick<PeerNetwork, "linkedNodeIds" | "plan" | "onLinkUp" | "onReport" | "sendReportTo">;
    readonly clock: Clock;
    readonly events: EventLog;
    /**
     * Time for which the counters of a group count after the last message of their process, in milliseconds. To be given
     * for groups that tell what was used, which stays used.
     */
    readonly lingerMsByGroup: Readonly<Record<string, number>>;
}

const topic = "sums";
const minIntervalMs = 250;
const linksPerInterval = 16; // bounds the messages that an aggregator sends
const nodesPerInterval = 100; // bounds the messages that it receives
const staleIntervals = 8; // a contribution is stale when the next eight messages have been lost

const changesSchema = z.record(z.number());
const messageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("node"),
        contributor: z.object({
            processId: z.string(),
            dataCentre: z.string(),
            isAggregator: z.boolean(),
        }).optional(),
        sequence: z.number(),
        isFull: z.boolean(),
        changes: changesSchema,
        leaves: z.object({
            nodes: z.number(),
            ageMs: z.number(),
            isFull: z.boolean(),
            changes: changesSchema,
        }).optional(),
        wanted: z.enum(["nothing", "changes", "all"]).optional(),
    }),
    z.object({
        kind: z.literal("total"),
        includedSequence: z.number().optional(),
        nodes: z.number(),
        ageMs: z.number(),
        isFull: z.boolean(),
        changes: changesSchema,
    }),
]);

/**
 * Sums over all nodes, such as the load of each upstream or the use of each quota. Every node contributes counters by
 * group and name, and reads the sum over the other nodes. See {@link SumState} for how they add up.
 */
export class ClusterSums {
    private readonly state: SumState;
    private readonly contributors = new Map<string, () => ReadonlyMap<string, number>>();
    private readonly wantedByNode = new Map<string, WantedTotal>();
    private readonly scope: TaskScope;
    /** Counters of the others by group, derived from the sums of {@link groupedFrom}. */
    private groups = new Map<string, Map<string, number>>();
    private groupedFrom: unknown;

    constructor(private readonly options: ClusterSumsOptions) {
        this.scope = createLoggedTaskScope(options.events);
        this.state = new SumState(options);
    }

    /** Present time between two messages of a node, in milliseconds. */
    get intervalMs(): number {
        const links = this.options.network.linkedNodeIds.length;
        const nodes = this.countCovered() + 1;
        return minIntervalMs * Math.max(1, links / linksPerInterval, nodes / nodesPerInterval);
    }

    async start(): Promise<void> {
        const { network } = this.options;
        network.onLinkUp(nodeId => this.state.resetPeer(nodeId));
        network.onReport(topic, (nodeId, payload) => this.receive(nodeId, payload));
        this.scope.run("cluster-sums", signal => this.exchange(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /**
     * Contributes the counters of a group from now on.
     *
     * @param group - the group's name, without slashes
     * @param read - reads this node's counters by name
     */
    registerContributor(group: string, read: () => ReadonlyMap<string, number>): void {
        this.contributors.set(group, read);
    }

    /** Reads the counters of a group, summed over the other nodes. */
    readOthers(group: string): ReadonlyMap<string, number> {
        const others = this.state.sumOthers();
        if (this.groupedFrom !== others) {
            this.groupedFrom = others;
            this.groups = splitCounters(others);
        }
        return this.groups.get(group) ?? noCounters;
    }

    /** Lists the other nodes that the sums include, with the time up to which they do. */
    listCovered(): readonly CoveredNodes[] {
        return this.state.listCovered();
    }

    /** Counts the other nodes that the sums include. */
    countCovered(): number {
        return countCoveredNodes(this.listCovered());
    }

    /** Mean age of the other nodes' contributions, in milliseconds; 0 if there are none. */
    readAgeMs(): number {
        return computeMeanAgeMs(this.listCovered(), this.options.clock.readMonotonicMs());
    }

    private receive(nodeId: string, payload: unknown): void {
        const parsed = messageSchema.safeParse(payload);
        if (!parsed.success) {
            this.options.events.emit(eventKinds.peerRejected, { reason: "invalid sums", peer: nodeId });
            return;
        }
        const message = parsed.data as SumMessage;
        const nowMs = this.options.clock.readMonotonicMs();
        if (message.kind === "total") {
            this.state.receiveTotal(nodeId, message, nowMs);
            return;
        }
        this.wantedByNode.set(nodeId, message.wanted ?? "nothing");
        this.state.receiveNode(nodeId, message, nowMs);
    }

    private *exchange(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            const currentIntervalMs = this.intervalMs;
            yield* waitFor(this.options.clock.sleep(currentIntervalMs, signal));
            const nowMs = this.options.clock.readMonotonicMs();
            this.state.expire(nowMs - currentIntervalMs * staleIntervals, nowMs);
            this.state.setRole(this.options.network.plan.isAggregator);
            this.state.setOwn(this.readOwn());
            this.dropUnlinked();
            this.sendAll(nowMs);
        }
    }

    /** Drops what is kept for nodes without a link; a new link starts from complete messages. */
    private dropUnlinked(): void {
        const linked = new Set(this.options.network.linkedNodeIds);
        this.state.keepPeers(linked);
        for (const nodeId of this.wantedByNode.keys()) {
            if (!linked.has(nodeId)) {
                this.wantedByNode.delete(nodeId);
            }
        }
    }

    private readOwn(): Map<string, number> {
        const own = new Map<string, number>();
        for (const [group, read] of this.contributors) {
            for (const [name, value] of read()) {
                if (value !== 0) {
                    own.set(`${group}/${name}`, value);
                }
            }
        }
        return own;
    }

    private sendAll(nowMs: number): void {
        const { network, nodeId } = this.options;
        const { isAggregator, aggregators } = network.plan;
        const linked = network.linkedNodeIds;
        const linkedAggregators = linked.filter(other => aggregators.has(other));
        const [preferred] = isAggregator ? [] : rankByRendezvous(nodeId, linkedAggregators);
        for (const other of linked) {
            if (aggregators.has(other)) {
                const wanted = this.decideWanted(other, preferred);
                network.sendReportTo(other, topic, this.state.createNodeMessage(other, nowMs, wanted));
                continue;
            }
            const wanted = this.wantedByNode.get(other) ?? "nothing";
            if (isAggregator && wanted !== "nothing") {
                network.sendReportTo(other, topic, this.state.createTotalMessage(other, nowMs, wanted));
            }
        }
    }

    private decideWanted(aggregator: string, preferred: string | undefined): WantedTotal {
        if (aggregator !== preferred) {
            return "nothing";
        }
        return this.state.hasTotalOf(aggregator) ? "changes" : "all";
    }
}

const noCounters: ReadonlyMap<string, number> = new Map();

const splitCounters = (counters: ReadonlyMap<string, number>): Map<string, Map<string, number>> => {
    const groups = new Map<string, Map<string, number>>();
    for (const [key, value] of counters) {
        const slash = key.indexOf("/");
        const group = key.slice(0, slash);
        const names = groups.get(group) ?? new Map<string, number>();
        groups.set(group, names.set(key.slice(slash + 1), value));
    }
    return groups;
};

/** Name of the cluster sums service. */
export const clusterSumsName = createServiceName<ClusterSums>("cluster-sums");
