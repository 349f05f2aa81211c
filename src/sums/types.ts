/** Types of sums over all nodes: named counters that every node contributes to. */

/** Counters by name. A name is `group/name`; counters that are 0 are left out. */
export type Counters = ReadonlyMap<string, number>;

/** Changed counters by name; 0 removes a counter. */
export type CounterChanges = Readonly<Record<string, number>>;

/** Who contributes. */
export interface Contributor {
    /** Unique for each process; a restarted node has a new one. */
    readonly processId: string;
    readonly dataCentre: string;
    readonly isAggregator: boolean;
}

/** What one node contributes, sent to aggregators. */
export interface NodeMessage {
    readonly kind: "node";
    /** Undefined if it is the same as in the last message. */
    readonly contributor?: Contributor;
    /** Number of the contribution; increases with each one. */
    readonly sequence: number;
    /** Whether the changes hold all counters. */
    readonly isFull: boolean;
    readonly changes: CounterChanges;
    /** Sum over the nodes that report to this aggregator alone. */
    readonly leaves?: LeavesMessage;
    /** What the sender wants of the sum over all nodes in return; default: nothing. */
    readonly wanted?: WantedTotal;
}

/** What a leaf wants of the sum over all nodes: nothing, what changed since the last message, or all of it. */
export type WantedTotal = "nothing" | "changes" | "all";

/** Sum over the nodes of one data centre that are not aggregators. */
export interface LeavesMessage {
    readonly nodes: number;
    /** Mean age of the contributions, in milliseconds. */
    readonly ageMs: number;
    readonly isFull: boolean;
    readonly changes: CounterChanges;
}

/** Sum over all nodes, sent by an aggregator to the others of its data centre. */
export interface TotalMessage {
    readonly kind: "total";
    /** Number of the receiver's contribution that the sum includes; undefined if it includes none. */
    readonly includedSequence: number | undefined;
    readonly nodes: number;
    readonly ageMs: number;
    readonly isFull: boolean;
    readonly changes: CounterChanges;
}

/** Message of the exchange of sums. */
export type SumMessage = NodeMessage | TotalMessage;

/** Nodes whose contributions the sum over the others includes, with the time up to which they are included. */
export interface CoveredNodes {
    readonly nodes: number;
    /** Monotonic time, in milliseconds. */
    readonly atMs: number;
}
