/** Types of roll-outs: a service's traffic moves to the upstreams of one software version, or back. */

/** An operator's order to move the traffic of a service to a software version. */
export interface RolloutOrder {
    readonly kind: "rollout-order";
    readonly service: string;
    /** Software version to move the traffic to; empty if the order names none. */
    readonly version: string;
    /** Time within which the order is to be completed or rolled back, in milliseconds. */
    readonly durationMs: number;
    /** Revision of the order's row; tells two orders with the same content apart. */
    readonly revision: number;
    /** What is wrong with the order, for the operator; undefined if it can be read. */
    readonly problem?: string;
}

/** Phases of a roll-out. The first two are steps on the way, the others are final. */
export const rolloutPhases = {
    /** The version gets a bounded part of the requests while its answers are compared. */
    trial: "trial",
    /** The version was found good; all requests move to it, and the others finish theirs. */
    moving: "moving",
    /** All traffic is at the version, and no other one has any. */
    completed: "completed",
    /** The version gets no requests. */
    rolledBack: "rolled-back",
} as const;

/** One of {@link rolloutPhases}. */
export type RolloutPhase = typeof rolloutPhases[keyof typeof rolloutPhases];

/** What is agreed on about the newest roll-out of a service; stored in the platform's table service. */
export interface RolloutRecord {
    readonly service: string;
    readonly version: string;
    /** Era of the store in which the order was written; 0 if the store states none. */
    readonly era: number;
    /** Revision of the order. */
    readonly revision: number;
    /** Revision of the order before it, which a store that was restored from an older copy may show again; 0 if none. */
    readonly previousRevision: number;
    readonly durationMs: number;
    readonly phase: RolloutPhase;
    /** Time on the store's clock at which the order was first seen, in milliseconds. */
    readonly startedStoreMs: number;
    /** Time on the store's clock at which the present phase began, in milliseconds. */
    readonly phaseStoreMs: number;
    /** Whether the order cannot be carried out. Such a roll-out ends as rolled back, and says nothing of its version. */
    readonly isRefused: boolean;
    /** Why the present phase began. */
    readonly reason: string;
    /** Versions that were rolled back before and must get no requests, other than the one of this record. */
    readonly barred: readonly string[];
    /** Versions that the roll-out has replaced, which have stopped; empty before it is completed. */
    readonly replaced: readonly string[];
    /** Fencing number of the lease under which the record was written. */
    readonly fencing: number;
}

/** What the bounds on an unproven version are. */
export interface RolloutBounds {
    /** Share of a service's requests that an unproven version may get. */
    readonly exposureShare: number;
    /** Requests that it may get in addition. */
    readonly exposureSlack: number;
}

/** Answers of one kind of upstreams. */
export interface AnswerCounts {
    readonly good: number;
    /** Answers that failed or were too slow. */
    readonly bad: number;
}

/** Answers on one route, by all nodes. */
export interface RouteEvidence {
    readonly route: string;
    /** Answers of upstreams of other versions. */
    readonly baseline: AnswerCounts;
    /** Answers of the version's upstreams, by upstream. */
    readonly candidates: ReadonlyMap<string, AnswerCounts>;
}

/** Verdict on a version. */
export type VersionVerdict =
    | { readonly kind: "bad"; readonly reason: string; }
    | { readonly kind: "good"; readonly reason: string; }
    | { readonly kind: "open"; readonly reason: string; };
