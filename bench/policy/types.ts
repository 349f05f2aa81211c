/** Shapes of the policy bench. */

import type { FleetPolicy } from "../../src/fleet/types";
import type { RandomSource } from "../../src/kernel/types";
import type { RoutingPolicy } from "../../src/routing/types";
import type { RecoveryPolicy } from "../../src/streams/RecoveryPolicy";

/** A deployment at the brief's size. */
export interface Deployment {
    readonly name: string;
    readonly nodeCount: number;
    readonly dataCentres: readonly string[];
    readonly minRunners: number;
    /** Price per hour of a reclaimable VM, by data centre. */
    readonly pricesPerHour: readonly number[];
    /** Requests a second, over all accounts. */
    readonly requestsPerSecond: number;
    /** Share of the requests, by account. */
    readonly accountShares: readonly number[];
    /** Mean tokens of an answer. */
    readonly meanAnswerTokens: number;
    /** Characters of the prompt's shared beginning, and of its own rest. */
    readonly sharedPromptCharacters: number;
    readonly uniquePromptCharacters: number;
}

/** What happens during a run. */
export interface Scenario {
    readonly name: string;
    /** Whether a data centre is reclaimed. */
    readonly hasReclaimWave: boolean;
    readonly isReplacementRefused: boolean;
    readonly hasStoreOutage: boolean;
}

/** Policies that are measured together. */
export interface PolicySet {
    readonly name: string;
    createRoutingPolicy(random: RandomSource): RoutingPolicy;
    createFleetPolicy(): FleetPolicy;
    readonly recoveryPolicy: RecoveryPolicy;
    /** Whether streams are moved when a notice arrives. */
    readonly movesStreams: boolean;
}

/** Figures of one run. */
export interface RunFigures {
    readonly deployment: string;
    readonly scenario: string;
    readonly policy: string;
    readonly asked: number;
    readonly answered: number;
    /** Shares of all asked requests. */
    readonly firstTokenInTarget: number;
    readonly betweenTokensInTarget: number;
    readonly wholeInTarget: number;
    readonly allInTarget: number;
    readonly refusals: Readonly<Record<string, number>>;
    /** Price of the fleet per thousand answers within all targets. */
    readonly costPerThousand: number;
    /** Least price per thousand that full knowledge allows. */
    readonly costBound: number;
    readonly recomputedTokens: number;
    /** Share within all targets of the small accounts and of the large ones. */
    readonly smallInTarget: number;
    readonly largeInTarget: number;
    readonly brokenInvariants: number;
}
