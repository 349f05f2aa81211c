import type { RequestRecord } from "../../src/streams/RequestRecord";
import { computeCostBound } from "./computeCostBound";
import { benchClass, PolicySimulation } from "./PolicySimulation";
import type { Deployment, PolicySet, RunFigures, Scenario } from "./types";

interface SubmittedRequest {
    readonly account: number;
    readonly outcome: RequestRecord | string;
}

const warmUpMs = 15_000;
const measuredMs = 90_000;
const drainMs = 40_000; // for open requests to end after the last arrival
const waveDelayMs = 25_000; // from the end of the warm-up
const noticeMs = 5_000;
const outageMs = 40_000;
const templatesPerAccount = 3;
const largeAccountCount = 2; // the first ones of the deployment's shares

/**
 * Simulates one deployment in one scenario with one set of policies.
 *
 * @param deployment - size and load
 * @param scenario - failures to inject
 * @param policies - policies of the nodes and the fleet
 * @param seed - seed of arrivals, prompts and random choices
 * @returns figures of the requests submitted after the warm-up
 */
export const runScenario = async (
    deployment: Deployment,
    scenario: Scenario,
    policies: PolicySet,
    seed: number,
): Promise<RunFigures> => {
    const simulation = new PolicySimulation(deployment, policies, seed);
    await simulation.start();
    simulation.cloud.refusesVms = scenario.isReplacementRefused;
    await generateLoad(simulation, deployment, warmUpMs, []);
    const fromMs = simulation.clock.readMonotonicMs();
    const recomputedBefore = simulation.countRecomputedTokens();
    const submitted: SubmittedRequest[] = [];
    if (scenario.hasReclaimWave) {
        void startReclaimWave(simulation, deployment, scenario);
    }
    await generateLoad(simulation, deployment, measuredMs, submitted);
    const cost = simulation.cloud.computeCost(fromMs);
    await simulation.clock.advance(drainMs);
    const figures = {
        ...summarise(submitted),
        deployment: deployment.name,
        scenario: scenario.name,
        policy: policies.name,
        recomputedTokens: simulation.countRecomputedTokens() - recomputedBefore,
        brokenInvariants: simulation.brokenInvariants.length,
    };
    await simulation.stop();
    const answersInTarget = Math.max(1, figures.allInTarget * figures.asked);
    return {
        ...figures,
        costPerThousand: cost / answersInTarget * 1_000,
        costBound: computeCostBound(deployment, measuredMs, figures.asked),
    };
};

const startReclaimWave = async (
    simulation: PolicySimulation,
    deployment: Deployment,
    scenario: Scenario,
): Promise<void> => {
    await simulation.clock.sleep(waveDelayMs);
    if (scenario.hasStoreOutage) {
        simulation.tables.faults = { outage: 1, lostAnswer: 0, lateEffect: 0 };
        void simulation.clock.sleep(outageMs).then(() => {
            simulation.tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 0 };
        });
    }
    await simulation.cloud.reclaimDataCentre(deployment.dataCentres[0], noticeMs);
};

/** Sends requests as Poisson arrivals, with shared prompt prefixes and exponentially distributed answer lengths. */
const generateLoad = async (
    simulation: PolicySimulation,
    deployment: Deployment,
    durationMs: number,
    submitted: SubmittedRequest[],
): Promise<void> => {
    const { arrivalRandom: random, clock } = simulation;
    const endMs = clock.readMonotonicMs() + durationMs;
    for (;;) {
        const gapMs = -Math.log(1 - random.drawFloat()) * 1_000 / deployment.requestsPerSecond;
        if (clock.readMonotonicMs() + gapMs > endMs) {
            await clock.advance(Math.max(0, endMs - clock.readMonotonicMs()));
            return;
        }
        await clock.advance(gapMs);
        const account = drawAccount(deployment, random.drawFloat());
        const template = `account ${account} template ${random.drawInt(templatesPerAccount)} `;
        const prompt = template.repeat(Math.ceil(deployment.sharedPromptCharacters / template.length))
            + `${random.drawId(8)} `.repeat(Math.ceil(deployment.uniquePromptCharacters / 17)); // 16 digits and a space
        const tokens = Math.max(
            8,
            Math.round(-Math.log(1 - random.drawFloat()) * deployment.meanAnswerTokens),
        );
        const maxTokens = Math.min(tokens, deployment.meanAnswerTokens * 4);
        void simulation.sendRequest(`account-${account}`, prompt, maxTokens).then(outcome =>
            submitted.push({ account, outcome })
        );
    }
};

const drawAccount = (deployment: Deployment, draw: number): number => {
    let cumulativeShare = 0;
    const index = deployment.accountShares.findIndex(share => {
        cumulativeShare += share;
        return draw < cumulativeShare;
    });
    return index < 0 ? deployment.accountShares.length - 1 : index;
};

const summarise = (
    submitted: readonly SubmittedRequest[],
): Omit<
    RunFigures,
    | "deployment"
    | "scenario"
    | "policy"
    | "recomputedTokens"
    | "brokenInvariants"
    | "costPerThousand"
    | "costBound"
> => {
    const refusals: Record<string, number> = {};
    const met = { first: 0, between: 0, whole: 0, all: 0 };
    const small = { asked: 0, met: 0 };
    const large = { asked: 0, met: 0 };
    let answered = 0;
    for (const { account, outcome } of submitted) {
        const group = account < largeAccountCount ? large : small;
        group.asked += 1;
        const result = checkTargets(outcome);
        if (result.refusal !== undefined) {
            refusals[result.refusal] = (refusals[result.refusal] ?? 0) + 1;
            continue;
        }
        answered += 1;
        met.first += result.isFirstTokenInTarget ? 1 : 0;
        met.between += result.isBetweenTokensInTarget ? 1 : 0;
        met.whole += result.isWholeInTarget ? 1 : 0;
        if (result.isFirstTokenInTarget && result.isBetweenTokensInTarget && result.isWholeInTarget) {
            met.all += 1;
            group.met += 1;
        }
    }
    const toShare = (count: number): number => count / Math.max(1, submitted.length);
    return {
        asked: submitted.length,
        answered,
        firstTokenInTarget: toShare(met.first),
        betweenTokensInTarget: toShare(met.between),
        wholeInTarget: toShare(met.whole),
        allInTarget: toShare(met.all),
        refusals,
        smallInTarget: small.met / Math.max(1, small.asked),
        largeInTarget: large.met / Math.max(1, large.asked),
    };
};

const checkTargets = (
    outcome: RequestRecord | string,
): {
    refusal?: string;
    isFirstTokenInTarget?: boolean;
    isBetweenTokensInTarget?: boolean;
    isWholeInTarget?: boolean;
} => {
    if (typeof outcome === "string") {
        return { refusal: outcome };
    }
    if (outcome.state !== "answered" || outcome.firstTokenAtMs === undefined) {
        return { refusal: outcome.failure?.resultCode.name ?? outcome.state };
    }
    const { latency } = benchClass;
    const wholeMs = outcome.endedAtMs! - outcome.description.acceptedAtMs;
    const decodeMs = outcome.endedAtMs! - outcome.firstTokenAtMs;
    return {
        isFirstTokenInTarget:
            outcome.firstTokenAtMs - outcome.description.acceptedAtMs <= latency.firstTokenMs,
        isBetweenTokensInTarget:
            decodeMs / Math.max(1, outcome.log.nextOffset - 1) <= latency.betweenTokensMs,
        isWholeInTarget: wholeMs <= latency.wholeMs,
    };
};
