import { CheapestFleetPolicy } from "../../src/fleet/CheapestFleetPolicy";
import { OnDemandFleetPolicy } from "../../src/fleet/OnDemandFleetPolicy";
import { LeastLoadPolicy } from "../../src/routing/LeastLoadPolicy";
import { PrefixAffinityPolicy } from "../../src/routing/PrefixAffinityPolicy";
import { RoundRobinPolicy } from "../../src/routing/RoundRobinPolicy";
import { LatencyTargetPolicy } from "../../src/routing/LatencyTargetPolicy";
import { RestartRecovery } from "../../src/streams/RestartRecovery";
import { ResumeRecovery } from "../../src/streams/ResumeRecovery";
import type { Deployment, PolicySet, Scenario } from "./types";

/** The two simulated deployments, with the sizes that the project's requirements give. */
export const deployments: readonly Deployment[] = [
    {
        name: "kesarwala",
        nodeCount: 8,
        dataCentres: ["guj-west-a", "guj-west-b", "guj-west-c", "guj-west-d"],
        minRunners: 6,
        pricesPerHour: [1, 1.15, 1.3, 1.6],
        requestsPerSecond: 14,
        accountShares: [0.42, 0.38, 0.08, 0.07, 0.05],
        meanAnswerTokens: 120,
        sharedPromptCharacters: 3_200,
        uniquePromptCharacters: 1_200,
    },
    {
        name: "verge",
        nodeCount: 8,
        dataCentres: ["gauteng-a", "gauteng-b", "gauteng-c", "gauteng-d"],
        minRunners: 8,
        pricesPerHour: [1, 1.1, 1.4, 1.5],
        requestsPerSecond: 10,
        accountShares: [0.45, 0.35, 0.08, 0.07, 0.05],
        meanAnswerTokens: 260,
        sharedPromptCharacters: 4_800,
        uniquePromptCharacters: 1_600,
    },
];

/** Scenarios that each deployment is simulated with. */
export const scenarios: readonly Scenario[] = [
    { name: "calm", hasReclaimWave: false, isReplacementRefused: false, hasStoreOutage: false },
    { name: "wave", hasReclaimWave: true, isReplacementRefused: false, hasStoreOutage: false },
    {
        name: "wave, replacement refused",
        hasReclaimWave: true,
        isReplacementRefused: true,
        hasStoreOutage: false,
    },
    {
        name: "wave in a store outage",
        hasReclaimWave: true,
        isReplacementRefused: false,
        hasStoreOutage: true,
    },
];

const resume = new ResumeRecovery();
const restart = new RestartRecovery();

/** The product's policies first, then the policy sets that they are compared with. */
export const policySets: readonly PolicySet[] = [
    {
        name: "product",
        createRoutingPolicy: random => new LatencyTargetPolicy({ random }),
        createFleetPolicy: () => new CheapestFleetPolicy(),
        recoveryPolicy: resume,
        movesStreams: true,
    },
    {
        name: "restart from nothing",
        createRoutingPolicy: random => new LatencyTargetPolicy({ random }),
        createFleetPolicy: () => new CheapestFleetPolicy(),
        recoveryPolicy: restart,
        movesStreams: false,
    },
    {
        name: "least load, on-demand",
        createRoutingPolicy: () => new LeastLoadPolicy(),
        createFleetPolicy: () => new OnDemandFleetPolicy(),
        recoveryPolicy: restart,
        movesStreams: false,
    },
    {
        name: "round robin",
        createRoutingPolicy: () => new RoundRobinPolicy(),
        createFleetPolicy: () => new CheapestFleetPolicy(),
        recoveryPolicy: resume,
        movesStreams: true,
    },
    {
        name: "prefix affinity",
        createRoutingPolicy: () => new PrefixAffinityPolicy(),
        createFleetPolicy: () => new CheapestFleetPolicy(),
        recoveryPolicy: resume,
        movesStreams: true,
    },
];
