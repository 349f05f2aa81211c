import { predictLatency } from "./predictLatency";
import type { RoutingChoice, RoutingPolicy, RoutingRequest, RunnerView } from "./types";

/** Chooses the runners in turn. Baseline for benchmarks. */
export class RoundRobinPolicy implements RoutingPolicy {
    readonly name = "round-robin";
    private next = 0;

    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice {
        if (runners.length === 0) {
            return { runnerId: undefined, meetsTarget: false, predictedFirstTokenMs: Infinity };
        }
        const runner = runners[this.next % runners.length];
        this.next += 1;
        const predictedFirstTokenMs = predictLatency(request, runner).firstTokenMs;
        return { runnerId: runner.id, meetsTarget: true, predictedFirstTokenMs };
    }
}
