import type { FleetPolicy } from "../../src/fleet/types";
import type { RandomSource } from "../../src/kernel/types";
import type { RoutingPolicy } from "../../src/routing/types";
import type { RecoveryPolicy } from "../../src/streams/RecoveryPolicy";

/** Size, prices and load of a simulated deployment. */
export interface Deployment {
    readonly name: string;
    readonly nodeCount: number;
    readonly dataCentres: readonly string[];
    readonly minRunners: number;
    /** Price per hour of a reclaimable VM, in the order of the data centres. */
    readonly pricesPerHour: readonly number[];
    /** Mean arrival rate over all accounts. */
    readonly requestsPerSecond: number;
    /** Share of the requests of each account; the first two accounts count as large, the others as small. */
    readonly accountShares: readonly number[];
    readonly meanAnswerTokens: number;
    /** Characters of the prompt prefix that requests with the same template share. */
    readonly sharedPromptCharacters: number;
    /** Characters of the rest of the prompt, unique to the request. */
    readonly uniquePromptCharacters: number;
}

/** Failures that are injected during a run. */
export interface Scenario {
    readonly name: string;
    /** Whether all reclaimable VMs of the first data centre are reclaimed. */
    readonly hasReclaimWave: boolean;
    /** Whether the cloud refuses all requests for VMs. */
    readonly isReplacementRefused: boolean;
    /** Whether the table store is unavailable from the notice of the reclaim on. */
    readonly hasStoreOutage: boolean;
}

/** Routing, fleet and recovery policies that a run uses together. */
export interface PolicySet {
    readonly name: string;
    createRoutingPolicy(random: RandomSource): RoutingPolicy;
    createFleetPolicy(): FleetPolicy;
    readonly recoveryPolicy: RecoveryPolicy;
    /** Whether open streams move to other runners when a reclaim notice arrives. */
    readonly movesStreams: boolean;
}

/** Figures of one run. */
export interface RunFigures {
    readonly deployment: string;
    readonly scenario: string;
    readonly policy: string;
    /** Number of submitted requests. */
    readonly asked: number;
    readonly answered: number;
    /** Shares of all submitted requests that met the target of the work class. */
    readonly firstTokenInTarget: number;
    readonly betweenTokensInTarget: number;
    readonly wholeInTarget: number;
    readonly allInTarget: number;
    /** Number of requests without an answer, by result code or final state. */
    readonly refusals: Readonly<Record<string, number>>;
    /** Cost of the fleet per thousand answers within all targets. */
    readonly costPerThousand: number;
    /** Lower bound of the cost per thousand answers, with full knowledge of the load. */
    readonly costBound: number;
    readonly recomputedTokens: number;
    /** Shares of the requests of small and of large accounts that met all targets. */
    readonly smallInTarget: number;
    readonly largeInTarget: number;
    readonly brokenInvariants: number;
}
