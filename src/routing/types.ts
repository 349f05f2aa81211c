/** Types of routing decisions. */

/** Data of one runner for a routing decision. */
export interface RunnerView {
    readonly id: string;
    readonly dataCentre: string;
    /** Requests that the runner decodes: its last report, corrected by the requests sent and ended since. */
    readonly running: number;
    /** Requests queued at the runner, corrected in the same way. */
    readonly queued: number;
    /** Running and queued requests in the last report, not corrected. */
    readonly reportedLoad: number;
    /** Requests of this node at the runner. */
    readonly ownRequests: number;
    /** Number of nodes that use the runner. */
    readonly nodeCount: number;
    /** Requests that the runner can decode concurrently. */
    readonly slots: number;
    /** Tokens of the request's prompt that the runner is assumed to have cached. */
    readonly cachedTokens: number;
    /** Estimated prefill time, in milliseconds per token. */
    readonly prefillMsPerToken: number;
    /** Estimated time between tokens with one more request running, in milliseconds. */
    readonly betweenTokensMs: number;
    /** Estimated time for which a request holds a slot, in milliseconds. */
    readonly serviceMs: number;
    /** Share of its usual traffic that the runner gets after an ejection, 0 to 1. */
    readonly trafficShare: number;
}

/** Data of one request for a routing decision. */
export interface RoutingRequest {
    readonly promptTokens: number;
    readonly expectedTokens: number;
    /** Target for the time to the first token, in milliseconds. */
    readonly firstTokenTargetMs: number;
    /** Target for the time between tokens, in milliseconds. */
    readonly betweenTokensTargetMs: number;
    /** Time already spent waiting, in milliseconds. */
    readonly waitedMs: number;
}

/** A routing decision: a runner, or none if no runner is eligible. */
export interface RoutingChoice {
    readonly runnerId: string | undefined;
    /** Whether the latency target is predicted to be met. */
    readonly meetsTarget: boolean;
    readonly predictedFirstTokenMs: number;
}

/** Chooses a runner for a request. */
export interface RoutingPolicy {
    readonly name: string;
    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice;
}
