import { predictLatency } from "./predictLatency";
import type { RoutingChoice, RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** Chooses the runner with the longest cached prefix, regardless of its load. Baseline for benchmarks. */
export class PrefixAffinityPolicy implements RoutingPolicy {
    readonly name = "prefix-affinity";

    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice {
        if (runners.length === 0) {
            return { runnerId: undefined, meetsTarget: false, predictedFirstTokenMs: Infinity };
        }
        const runner = runners.reduce((best, next) => next.cachedTokens > best.cachedTokens ? next : best);
        const predictedFirstTokenMs = predictLatency(request, runner).firstTokenMs;
        return { runnerId: runner.id, meetsTarget: true, predictedFirstTokenMs };
    }
}
