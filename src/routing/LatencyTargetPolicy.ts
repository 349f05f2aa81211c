import type { RandomSource } from "../kernel/types";
import { type LatencyPrediction, predictLatency } from "./predictLatency";
import type { RoutingChoice, RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** Options of {@link LatencyTargetPolicy}. */
export interface LatencyTargetPolicyOptions {
    readonly random: RandomSource;
    /** Share of a target that a prediction may use; default 0.8. */
    readonly targetFraction?: number;
    /** Candidates weighed per decision; default 12. */
    readonly sampleSize?: number;
    /** Runners that hold cached tokens are taken into the sample, at most this many; default 3. */
    readonly maxAffinityCandidates?: number;
}

interface Candidate {
    readonly runner: RunnerView;
    readonly prediction: LatencyPrediction;
}

const defaultMargin = 0.8;
const betweenMargin = 0.95; // the time between tokens is predicted more closely than the first token
const defaultSampleSize = 12;
const defaultAffinitySize = 3;
const nearFirstToken = 0.25; // of the target; candidates within it of the fastest count as equal
const nearCost = 1.35; // candidates within 35 % of the cheapest count as equal; at 10 % late reports decided

/**
 * Chooses the cheapest runner that is predicted to meet the class's target. It weighs a random sample, and
 * breaks near ties at random, so that nodes with the same late reports do not all choose the same runner.
 */
export class LatencyTargetPolicy implements RoutingPolicy {
    readonly name = "target";
    private readonly margin: number;
    private readonly sampleSize: number;
    private readonly affinitySize: number;

    constructor(private readonly options: LatencyTargetPolicyOptions) {
        this.margin = options.targetFraction ?? defaultMargin;
        this.sampleSize = options.sampleSize ?? defaultSampleSize;
        this.affinitySize = options.maxAffinityCandidates ?? defaultAffinitySize;
    }

    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice {
        const admitted = runners.filter(runner => this.admits(runner));
        const candidates = this.sample(admitted)
            .map(runner => ({ runner, prediction: predictLatency(request, runner) }));
        if (candidates.length === 0) {
            return { runnerId: undefined, meetsTarget: false, predictedFirstTokenMs: Infinity };
        }
        const meeting = candidates.filter(candidate => this.meetsTarget(request, candidate.prediction));
        if (meeting.length > 0) {
            return toChoice(this.pickCheapest(meeting), true);
        }
        const withRoom = candidates.filter(({ runner }) => runner.running + runner.queued < runner.slots);
        return toChoice(this.pickFast(withRoom.length > 0 ? withRoom : candidates, request), false);
    }

    private admits(runner: RunnerView): boolean {
        return runner.trafficShare >= 1 || this.options.random.drawFloat() < runner.trafficShare;
    }

    private sample(runners: readonly RunnerView[]): readonly RunnerView[] {
        if (runners.length <= this.sampleSize) {
            return runners;
        }
        const sampled = new Set<RunnerView>();
        const cached = runners.filter(runner => runner.cachedTokens > 0);
        cached.sort((a, b) => b.cachedTokens - a.cachedTokens);
        cached.slice(0, this.affinitySize).forEach(runner => sampled.add(runner));
        while (sampled.size < this.sampleSize) {
            sampled.add(runners[this.options.random.drawInt(runners.length)]);
        }
        return [...sampled];
    }

    private meetsTarget(request: RoutingRequest, prediction: LatencyPrediction): boolean {
        return request.waitedMs + prediction.firstTokenMs <= request.firstTokenTargetMs * this.margin
            && prediction.betweenTokensMs <= request.betweenTokensTargetMs * betweenMargin;
    }

    private pickCheapest(candidates: readonly Candidate[]): Candidate {
        const lowest = Math.min(...candidates.map(candidate => candidate.prediction.cost));
        return this.pickLessLoaded(
            candidates.filter(candidate => candidate.prediction.cost <= lowest * nearCost),
        );
    }

    /** Takes one of the fastest; always taking the very fastest would send all nodes to the same runner. */
    private pickFast(candidates: readonly Candidate[], request: RoutingRequest): Candidate {
        const fastestMs = Math.min(...candidates.map(candidate => candidate.prediction.firstTokenMs));
        const limitMs = fastestMs + request.firstTokenTargetMs * nearFirstToken;
        return this.pickLessLoaded(
            candidates.filter(candidate => candidate.prediction.firstTokenMs <= limitMs),
        );
    }

    /** Takes the less loaded of two random candidates (Mitzenmacher 2001). */
    private pickLessLoaded(candidates: readonly Candidate[]): Candidate {
        const first = candidates[this.options.random.drawInt(candidates.length)];
        const second = candidates[this.options.random.drawInt(candidates.length)];
        return readLoad(first) <= readLoad(second) ? first : second;
    }
}

/**
 * Load by which candidates are compared: half what is reported, half this node's own requests times the nodes that
 * share the runner. Reports are the same for all nodes and late; own counts are neither.
 */
const readLoad = ({ runner }: Candidate): number =>
    (runner.running + runner.queued + runner.ownRequests * runner.nodeCount) / runner.slots;

const toChoice = (candidate: Candidate, meetsTarget: boolean): RoutingChoice => ({
    runnerId: candidate.runner.id,
    meetsTarget,
    predictedFirstTokenMs: candidate.prediction.firstTokenMs,
});
