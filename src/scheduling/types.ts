/** Types of the work that requests cost upstreams. */

/** What a request's cost is estimated from. */
export interface WorkRequest {
    readonly service: string;
    readonly route: string;
    /** Name of the client account; undefined if the request has none. */
    readonly account: string | undefined;
    /** Tokens of the prompt; undefined for requests to plain services. */
    readonly promptTokens: number | undefined;
    /** Most tokens that the answer may have. */
    readonly outputTokens: number;
}

/** Estimated cost of a request. */
export interface WorkEstimate {
    /** Time for which the request occupies a place of an upstream of usual speed, in milliseconds. */
    readonly workMs: number;
    /** Mean distance of such estimates from what the requests took, in milliseconds. */
    readonly errorMs: number;
}
