import type { RoutingRequest, RunnerView } from "./types";

/** Predicted latency and cost of a request on one runner. */
export interface LatencyPrediction {
    /** Time to the first token from now, in milliseconds. */
    readonly firstTokenMs: number;
    /** Time between tokens, in milliseconds. */
    readonly betweenTokensMs: number;
    /** Machine time that the request takes: prefill and decode time divided by the runner's slots, in milliseconds. */
    readonly cost: number;
}

/**
 * Predicts latency and cost of a request on a runner. The cost does not include the price of the VM, which is paid
 * whether the VM is used or not; the fleet manager takes it into account.
 *
 * @param request - the request
 * @param runner - the runner
 * @returns predicted latency and machine time
 */
export const predictLatency = (request: RoutingRequest, runner: RunnerView): LatencyPrediction => {
    const uncachedTokens = Math.max(0, request.promptTokens - runner.cachedTokens);
    const prefillMs = uncachedTokens * runner.prefillMsPerToken;
    const ahead = runner.running + runner.queued + 1 - runner.slots;
    const queueMs = ahead > 0 ? ahead * runner.serviceMs / runner.slots : 0;
    const decodeMs = request.expectedTokens * runner.betweenTokensMs;
    return {
        firstTokenMs: queueMs + prefillMs + runner.betweenTokensMs,
        betweenTokensMs: runner.betweenTokensMs,
        cost: (prefillMs + decodeMs) / runner.slots,
    };
};
