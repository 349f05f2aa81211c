/** Shapes of what operators are shown. */

import type { Member, MemberState } from "../membership/types";
import type { BalanceCounts } from "../streams/RequestBalance";

/** A runner as one node sees it. */
export interface RunnerStatus {
    readonly id: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly leaving: boolean;
    readonly load: number;
    readonly slots: number;
    /** Share of usual work that it gets, below 1 after an ejection. */
    readonly share: number;
}

/** Status of one node. */
export interface NodeStatus {
    readonly nodeId: string;
    readonly state: MemberState;
    readonly revision: number;
    /** Whether the node knows that its configuration is current. */
    readonly current: boolean;
    readonly links: number;
    readonly runners: readonly RunnerStatus[];
    /** Waiting requests by service. */
    readonly queued: Readonly<Record<string, number>>;
    readonly brokenInvariants: number;
}

/** Status of all nodes. */
export interface ClusterStatus {
    readonly revision: number;
    readonly members: readonly Member[];
    readonly nodes: readonly NodeStatus[];
    readonly unreachable: readonly string[];
}

/** Requests of one class of work that have not ended. */
export interface ClassReport {
    readonly name: string;
    readonly inProgress: number;
    /** Past the class's time to the whole answer. */
    readonly overdue: number;
    /** Age of the oldest, in milliseconds. */
    readonly oldestMs: number;
}

/** Report of one node. */
export interface NodeReport {
    readonly nodeId: string;
    readonly balance: BalanceCounts;
    readonly classes: readonly ClassReport[];
}

/** Report over all nodes. */
export interface ClusterReport {
    readonly classes: readonly ClassReport[];
    readonly nodes: readonly NodeReport[];
    readonly unreachable: readonly string[];
}
