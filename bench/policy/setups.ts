import { CheapestFleetPolicy } from "../../src/fleet/CheapestFleetPolicy";
import { OnDemandFleetPolicy } from "../../src/fleet/OnDemandFleetPolicy";
import { LeastLoadPolicy } from "../../src/routing/LeastLoadPolicy";
import { PrefixAffinityPolicy } from "../../src/routing/PrefixAffinityPolicy";
import { RoundRobinPolicy } from "../../src/routing/RoundRobinPolicy";
import { LatencyTargetPolicy } from "../../src/routing/LatencyTargetPolicy";
import { RestartRecovery } from "../../src/streams/RestartRecovery";
import { ResumeRecovery } from "../../src/streams/ResumeRecovery";
import type { Deployment, PolicySet, Scenario } from "./types";

/** The two deployments of the brief. */
export const deployments: readonly Deployment[] = [
    {
        name: "kesarwala",
        nodes: 8,
        dataCentres: ["guj-west-a", "guj-west-b", "guj-west-c", "guj-west-d"],
        runners: 6,
        prices: [1, 1.15, 1.3, 1.6],
        requestsPerSecond: 14,
        accountShares: [0.42, 0.38, 0.08, 0.07, 0.05],
        answerTokens: 120,
        sharedCharacters: 3_200,
        ownCharacters: 1_200,
    },
    {
        name: "verge",
        nodes: 8,
        dataCentres: ["gauteng-a", "gauteng-b", "gauteng-c", "gauteng-d"],
        runners: 8,
        prices: [1, 1.1, 1.4, 1.5],
        requestsPerSecond: 10,
        accountShares: [0.45, 0.35, 0.08, 0.07, 0.05],
        answerTokens: 260,
        sharedCharacters: 4_800,
        ownCharacters: 1_600,
    },
];

/** What happens during the runs. */
export const scenarios: readonly Scenario[] = [
    { name: "calm", wave: false, replacementRefused: false, storeOutage: false },
    { name: "wave", wave: true, replacementRefused: false, storeOutage: false },
    { name: "wave, replacement refused", wave: true, replacementRefused: true, storeOutage: false },
    { name: "wave in a store outage", wave: true, replacementRefused: false, storeOutage: true },
];

const resume = new ResumeRecovery();
const restart = new RestartRecovery();

/** The product's policies and those kept for comparison. */
export const policySets: readonly PolicySet[] = [
    {
        name: "product",
        createRouting: random => new LatencyTargetPolicy({ random }),
        createFleet: () => new CheapestFleetPolicy(),
        recovery: resume,
        movesStreams: true,
    },
    {
        name: "restart from nothing",
        createRouting: random => new LatencyTargetPolicy({ random }),
        createFleet: () => new CheapestFleetPolicy(),
        recovery: restart,
        movesStreams: false,
    },
    {
        name: "least load, on-demand",
        createRouting: () => new LeastLoadPolicy(),
        createFleet: () => new OnDemandFleetPolicy(),
        recovery: restart,
        movesStreams: false,
    },
    {
        name: "round robin",
        createRouting: () => new RoundRobinPolicy(),
        createFleet: () => new CheapestFleetPolicy(),
        recovery: resume,
        movesStreams: true,
    },
    {
        name: "prefix affinity",
        createRouting: () => new PrefixAffinityPolicy(),
        createFleet: () => new CheapestFleetPolicy(),
        recovery: resume,
        movesStreams: true,
    },
];
