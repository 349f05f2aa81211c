import type { RequestRecord } from "../../src/streams/RequestRecord";
import { computeCostBound } from "./computeCostBound";
import { benchClass, PolicySimulation } from "./PolicySimulation";
import type { Deployment, PolicySet, RunFigures, Scenario } from "./types";

interface Asked {
    readonly account: number;
    readonly outcome: RequestRecord | string;
}

const warmUpMs = 15_000;
const measuredMs = 90_000;
const drainMs = 40_000;
const waveAtMs = 25_000; // after the warm-up
const noticeMs = 5_000;
const outageMs = 40_000;
const templatesPerAccount = 3;
const largeAccounts = 2;

/**
 * Runs one deployment through one scenario with one set of policies, in virtual time.
 *
 * @returns the figures of the requests asked after the warm-up
 */
export const runScenario = async (
    deployment: Deployment,
    scenario: Scenario,
    policies: PolicySet,
    seed: number,
): Promise<RunFigures> => {
    const world = new PolicySimulation(deployment, policies, seed);
    await world.start();
    world.cloud.refusesVms = scenario.isReplacementRefused;
    await runArrivals(world, deployment, warmUpMs, []);
    const fromMs = world.clock.readMonotonicMs();
    const recomputedBefore = world.countRecomputed();
    const asked: Asked[] = [];
    if (scenario.hasReclaimWave) {
        void startWave(world, deployment, scenario);
    }
    await runArrivals(world, deployment, measuredMs, asked);
    const cost = world.cloud.computeCost(fromMs);
    await world.clock.advance(drainMs);
    const figures = {
        ...summarise(asked),
        deployment: deployment.name,
        scenario: scenario.name,
        policy: policies.name,
        recomputedTokens: world.countRecomputed() - recomputedBefore,
        brokenInvariants: world.brokenInvariants.length,
    };
    await world.stop();
    const inTarget = Math.max(1, figures.allInTarget * figures.asked);
    return {
        ...figures,
        costPerThousand: cost / inTarget * 1_000,
        costBound: computeCostBound(deployment, measuredMs, figures.asked),
    };
};

const startWave = async (
    world: PolicySimulation,
    deployment: Deployment,
    scenario: Scenario,
): Promise<void> => {
    await world.clock.sleep(waveAtMs);
    if (scenario.hasStoreOutage) {
        world.tables.faults = { outage: 1, lostAnswer: 0, lateEffect: 0 };
        void world.clock.sleep(outageMs).then(() => {
            world.tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 0 };
        });
    }
    await world.cloud.reclaimDataCentre(deployment.dataCentres[0], noticeMs);
};

/** Poisson arrivals over the accounts, with answers of exponential length and shared prompt beginnings. */
const runArrivals = async (
    world: PolicySimulation,
    deployment: Deployment,
    durationMs: number,
    asked: Asked[],
): Promise<void> => {
    const { arrivalRandom: random, clock } = world;
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
            + `${random.drawId(8)} `.repeat(Math.ceil(deployment.uniquePromptCharacters / 17));
        const tokens = Math.max(
            8,
            Math.round(-Math.log(1 - random.drawFloat()) * deployment.meanAnswerTokens),
        );
        const maxTokens = Math.min(tokens, deployment.meanAnswerTokens * 4);
        void world.sendRequest(`account-${account}`, prompt, maxTokens).then(outcome =>
            asked.push({ account, outcome })
        );
    }
};

const drawAccount = (deployment: Deployment, draw: number): number => {
    let sum = 0;
    const index = deployment.accountShares.findIndex(share => {
        sum += share;
        return draw < sum;
    });
    return index < 0 ? deployment.accountShares.length - 1 : index;
};

const summarise = (
    asked: readonly Asked[],
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
    for (const { account, outcome } of asked) {
        const group = account < largeAccounts ? large : small;
        group.asked += 1;
        const judged = judge(outcome);
        if (judged.refusal !== undefined) {
            refusals[judged.refusal] = (refusals[judged.refusal] ?? 0) + 1;
            continue;
        }
        answered += 1;
        met.first += judged.first ? 1 : 0;
        met.between += judged.between ? 1 : 0;
        met.whole += judged.whole ? 1 : 0;
        if (judged.first && judged.between && judged.whole) {
            met.all += 1;
            group.met += 1;
        }
    }
    const toShare = (count: number): number => count / Math.max(1, asked.length);
    return {
        asked: asked.length,
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

const judge = (
    outcome: RequestRecord | string,
): { refusal?: string; first?: boolean; between?: boolean; whole?: boolean; } => {
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
        first: outcome.firstTokenAtMs - outcome.description.acceptedAtMs <= latency.firstTokenMs,
        between: decodeMs / Math.max(1, outcome.log.nextOffset - 1) <= latency.betweenTokensMs,
        whole: wholeMs <= latency.wholeMs,
    };
};
