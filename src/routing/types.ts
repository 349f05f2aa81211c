/** Plain data of routing decisions. */

/** What a routing policy knows of one runner. */
export interface RunnerView {
    readonly id: string;
    readonly dataCentre: string;
    /** Requests decoding at the runner: its last report, corrected by what was sent and ended since. */
    readonly running: number;
    /** Requests waiting at the runner, corrected likewise. */
    readonly queued: number;
    /** As {@link running} and {@link queued} in the last report, not corrected. */
    readonly reportedLoad: number;
    /** Requests that this node has at the runner. */
    readonly ownRequests: number;
    /** Number of nodes that use the runner. */
    readonly nodeCount: number;
    /** Requests that the runner decodes at once. */
    readonly slots: number;
    /** Tokens of this request's prompt that the runner is believed to have cached. */
    readonly cachedTokens: number;
    /** Learned prefill time, in milliseconds per token. */
    readonly prefillMsPerToken: number;
    /** Learned time between tokens with one more request running, in milliseconds. */
    readonly betweenTokensMs: number;
    /** Learned time a request holds a slot, in milliseconds. */
    readonly serviceMs: number;
    /** Share of usual work that a runner gets after an ejection, 0 to 1. */
    readonly trafficShare: number;
}

/** What a routing policy knows of a request. */
export interface RoutingRequest {
    readonly promptTokens: number;
    readonly expectedTokens: number;
    readonly firstTokenTargetMs: number;
    readonly betweenTokensTargetMs: number;
    /** Time already spent, in milliseconds. */
    readonly waitedMs: number;
}

/** A decision: a runner, or none because every runner is full. */
export interface RoutingChoice {
    readonly runnerId: string | undefined;
    /** Whether the class's target is predicted to be met. */
    readonly meetsTarget: boolean;
    readonly predictedFirstTokenMs: number;
}

/** Chooses a runner for a request. */
export interface RoutingPolicy {
    readonly name: string;
    choose(request: RoutingRequest, runners: readonly RunnerView[]): RoutingChoice;
}
