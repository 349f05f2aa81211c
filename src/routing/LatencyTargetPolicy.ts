import type { RandomSource } from "../kernel/types";
import { type LatencyPrediction, predictLatency } from "./predictLatency";
import type { RoutingChoice, RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** Options of {@link LatencyTargetPolicy}. */
export interface LatencyTargetPolicyOptions {
    readonly random: RandomSource;
    /** Share of the first-token target that a prediction may use, 0 to 1; default 0.8. */
    readonly targetFraction?: number;
    /** Number of runners compared for each decision; default 12. */
    readonly sampleSize?: number;
    /** Maximum number of runners that the sample includes for their cached tokens; default 3. */
    readonly maxAffinityCandidates?: number;
}

interface Candidate {
    readonly runner: RunnerView;
    readonly prediction: LatencyPrediction;
}

const defaultTargetFraction = 0.8;
const betweenTokensFraction = 0.95; // of the target; this prediction is more accurate than that of the first token
const defaultSampleSize = 12;
const defaultMaxAffinityCandidates = 3;
const nearTieFirstTokenFraction = 0.25; // of the target; candidates this close to the fastest count as equal
/** Candidates within 35 % of the cheapest count as equal. At 10 %, delayed load reports determined the choice. */
const nearTieCostRatio = 1.35;

/**
 * Chooses the cheapest runner that is predicted to meet the latency target of the request, or else one of the fastest.
 * Compares a random sample and breaks near ties at random: all nodes see the same delayed load reports and would
 * otherwise choose the same runner.
 */
export class LatencyTargetPolicy implements RoutingPolicy {
    readonly name = "target";
    private readonly targetFraction: number;
    private readonly sampleSize: number;
    private readonly maxAffinityCandidates: number;

    constructor(private readonly options: LatencyTargetPolicyOptions) {
        this.targetFraction = options.targetFraction ?? defaultTargetFraction;
        this.sampleSize = options.sampleSize ?? defaultSampleSize;
        this.maxAffinityCandidates = options.maxAffinityCandidates ?? defaultMaxAffinityCandidates;
    }

    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice {
        const eligible = runners.filter(runner => this.isEligible(runner));
        const candidates = this.sample(eligible)
            .map(runner => ({ runner, prediction: predictLatency(request, runner) }));
        if (candidates.length === 0) {
            return { runnerId: undefined, meetsTarget: false, predictedFirstTokenMs: Infinity };
        }
        const meetingTarget = candidates.filter(candidate => this.meetsTarget(request, candidate.prediction));
        if (meetingTarget.length > 0) {
            return toChoice(this.pickNearCheapest(meetingTarget), true);
        }
        const withFreeSlots = candidates.filter(({ runner }) =>
            runner.running + runner.queued < runner.slots
        );
        return toChoice(
            this.pickNearFastest(withFreeSlots.length > 0 ? withFreeSlots : candidates, request),
            false,
        );
    }

    private isEligible(runner: RunnerView): boolean {
        return runner.trafficShare >= 1 || this.options.random.drawFloat() < runner.trafficShare;
    }

    private sample(runners: readonly RunnerView[]): readonly RunnerView[] {
        if (runners.length <= this.sampleSize) {
            return runners;
        }
        const sampled = new Set<RunnerView>();
        const cached = runners.filter(runner => runner.cachedTokens > 0);
        cached.sort((a, b) => b.cachedTokens - a.cachedTokens);
        cached.slice(0, this.maxAffinityCandidates).forEach(runner => sampled.add(runner));
        while (sampled.size < this.sampleSize) {
            sampled.add(runners[this.options.random.drawInt(runners.length)]);
        }
        return [...sampled];
    }

    private meetsTarget(request: RoutingRequest, prediction: LatencyPrediction): boolean {
        return request.waitedMs + prediction.firstTokenMs <= request.firstTokenTargetMs * this.targetFraction
            && prediction.betweenTokensMs <= request.betweenTokensTargetMs * betweenTokensFraction;
    }

    private pickNearCheapest(candidates: readonly Candidate[]): Candidate {
        const lowest = Math.min(...candidates.map(candidate => candidate.prediction.cost));
        return this.pickLessLoaded(
            candidates.filter(candidate => candidate.prediction.cost <= lowest * nearTieCostRatio),
        );
    }

    /** Picks one of the fastest; if each node took the very fastest, all would choose the same runner. */
    private pickNearFastest(candidates: readonly Candidate[], request: RoutingRequest): Candidate {
        const fastestMs = Math.min(...candidates.map(candidate => candidate.prediction.firstTokenMs));
        const limitMs = fastestMs + request.firstTokenTargetMs * nearTieFirstTokenFraction;
        return this.pickLessLoaded(
            candidates.filter(candidate => candidate.prediction.firstTokenMs <= limitMs),
        );
    }

    /** Picks the less loaded of two random candidates: the power of two choices (Mitzenmacher 2001). */
    private pickLessLoaded(candidates: readonly Candidate[]): Candidate {
        const first = candidates[this.options.random.drawInt(candidates.length)];
        const second = candidates[this.options.random.drawInt(candidates.length)];
        return computeLoad(first) <= computeLoad(second) ? first : second;
    }
}

/**
 * Computes the load by which candidates are compared: the reported load plus, with the same weight, this node's own
 * requests times the number of nodes that use the runner. Reports are delayed and the same for all nodes; a node's own
 * count is current and its own.
 */
const computeLoad = ({ runner }: Candidate): number =>
    (runner.running + runner.queued + runner.ownRequests * runner.nodeCount) / runner.slots;

const toChoice = (candidate: Candidate, meetsTarget: boolean): RoutingChoice => ({
    runnerId: candidate.runner.id,
    meetsTarget,
    predictedFirstTokenMs: candidate.prediction.firstTokenMs,
});
