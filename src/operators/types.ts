/** Types of the operator API's answers. */

import type { Member, MemberState } from "../membership/types";
import type { BalanceCounts } from "../streams/RequestBalance";

/** Status of a runner as one node observes it. */
export interface RunnerStatus {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly leaving: boolean;
    /** Estimated number of requests at the runner. */
    readonly load: number;
    /** Number of requests that the runner processes in parallel. */
    readonly slots: number;
    /** Share of its normal traffic that the runner gets: 0 while ejected, below 1 while it ramps up. */
    readonly share: number;
}

/** Status of one node. */
export interface NodeStatus {
    readonly nodeId: string;
    readonly state: MemberState;
    /** Configuration revision in force on the node. */
    readonly revision: number;
    /** Whether the node can confirm that its configuration is current. */
    readonly current: boolean;
    /** Number of open links to other members. */
    readonly links: number;
    readonly runners: readonly RunnerStatus[];
    /** Number of queued requests by service. */
    readonly queued: Readonly<Record<string, number>>;
    /** Number of invariant violations since the start. */
    readonly brokenInvariants: number;
}

/** Status of the cluster, as one node collected it. */
export interface ClusterStatus {
    /** Configuration revision in force on the node that answered. */
    readonly revision: number;
    readonly members: readonly Member[];
    /** Status of each node that answered. */
    readonly nodes: readonly NodeStatus[];
    /** Ids of the members that did not answer. */
    readonly unreachable: readonly string[];
}

/** Requests of one work class that have not ended. */
export interface ClassReport {
    readonly name: string;
    readonly inProgress: number;
    /** Number of these requests that are older than the class's latency target for the complete answer. */
    readonly overdue: number;
    /** Age of the oldest of these requests, in milliseconds; 0 if there are none. */
    readonly oldestMs: number;
}

/** Report on the requests of one node. */
export interface NodeReport {
    readonly nodeId: string;
    readonly balance: BalanceCounts;
    readonly classes: readonly ClassReport[];
}

/** Report on the requests of the cluster. */
export interface ClusterReport {
    /** Sums and maxima over the nodes that answered. */
    readonly classes: readonly ClassReport[];
    readonly nodes: readonly NodeReport[];
    /** Ids of the members that did not answer. */
    readonly unreachable: readonly string[];
}
