import type { RoutingRequest, RunnerView } from "./types";

/** Predicted latency and cost of a request on one runner. */
export interface LatencyPrediction {
    /** Time to the first token from now, in milliseconds. */
    readonly firstTokenMs: number;
    /** Time between tokens, in milliseconds. */
    readonly betweenTokensMs: number;
    /** Time for which the request holds a share of the machine, in milliseconds. */
    readonly cost: number;
}

/**
 * Predicts how a runner would serve a request.
 *
 * @param request - the request
 * @param runner - the runner
 * @returns latency and the machine time that the request takes; the price of a running machine is paid whether it is
 * used or not, so that it is weighed by the fleet and not here
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
