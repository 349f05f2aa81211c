import { SeededRandom } from "../../src/kernel/SeededRandom";
import { hashPromptBlocks, PrefixIndex } from "../../src/routing/PrefixIndex";
import { LatencyTargetPolicy } from "../../src/routing/LatencyTargetPolicy";
import type { RoutingRequest, RunnerView } from "../../src/routing/types";
import { fitLine } from "./fitLine";
import { measureCallMicroseconds, measureHeapBytes } from "./measureOwnUsage";
import type { LinearFit } from "./types";

const runnerCounts: readonly number[] = [10, 24, 100, 1_000];
const blockCounts: readonly number[] = [4_096, 16_384, 65_536];
const rounds = 5;
const calls = 2_000;

const request: RoutingRequest = {
    promptTokens: 1_000,
    expectedTokens: 200,
    firstTokenTargetMs: 1_100,
    betweenTokensTargetMs: 40,
    waitedMs: 0,
};

/** Measures a routing decision by the number of runners, and the prefix index by its number of blocks. */
export const measureRouting =
    (): LinearFit[] => [measureDecision(), measureDecisionMemory(), ...measurePrefixIndex()];

const createViews = (count: number): RunnerView[] =>
    Array.from({ length: count }, (_, index) => ({
        id: `runner-${index}`,
        dataCentre: `dc-${index % 5}`,
        running: index % 16,
        queued: 0,
        reportedLoad: index % 16,
        ownRequests: 1,
        nodeCount: 8,
        slots: 16,
        cachedTokens: index % 7 === 0 ? 640 : 0,
        prefillMsPerToken: 0.1,
        betweenTokensMs: 20,
        serviceMs: 4_000,
        trafficShare: 1,
    }));

const measureDecision = (): LinearFit => {
    const policy = new LatencyTargetPolicy({ random: new SeededRandom(1) });
    const points = runnerCounts.map(size => {
        const views = createViews(size);
        return { size, value: measureCallMicroseconds(rounds, calls, () => policy.choose(request, views)) };
    });
    return fitLine("routing decision microseconds", "runner", points);
};

const measureDecisionMemory = (): LinearFit => {
    const points = runnerCounts.map(size => ({ size, value: measureHeapBytes(() => createViews(size)) }));
    return fitLine("routing view heap bytes", "runner", points);
};

const createPrefixIndex = (blocks: number): PrefixIndex => {
    const index = new PrefixIndex({ maxBlocks: blocks });
    for (let block = 0; block < blocks; block += 1) {
        index.add(`runner-${block % 24}`, [`${block % 64}-${(block * 7919).toString(16)}`]);
    }
    return index;
};

const measurePrefixIndex = (): LinearFit[] => {
    const memory: { size: number; value: number; }[] = [];
    const lookups: { size: number; value: number; }[] = [];
    for (const size of blockCounts) {
        memory.push({ size, value: measureHeapBytes(() => createPrefixIndex(size)) });
        const index = createPrefixIndex(size);
        const prompt = hashPromptBlocks("x".repeat(16_384));
        index.add("runner-1", prompt);
        lookups.push({
            size,
            value: measureCallMicroseconds(rounds, calls, () => index.countCachedTokens(prompt)),
        });
    }
    return [
        fitLine("prefix index heap bytes", "block", memory),
        fitLine("prefix look-up microseconds (64 blocks)", "block", lookups),
    ];
};
