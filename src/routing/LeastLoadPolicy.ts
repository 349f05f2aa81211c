import { predictLatency } from "./predictLatency";
import type { RoutingChoice, RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** Chooses the runner with the least reported load. Baseline for benchmarks. */
export class LeastLoadPolicy implements RoutingPolicy {
    readonly name = "least-load";

    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice {
        if (runners.length === 0) {
            return { runnerId: undefined, meetsTarget: false, predictedFirstTokenMs: Infinity };
        }
        const runner = runners.reduce((best, next) => next.reportedLoad < best.reportedLoad ? next : best);
        const predictedFirstTokenMs = predictLatency(request, runner).firstTokenMs;
        return { runnerId: runner.id, meetsTarget: true, predictedFirstTokenMs };
    }
}
