/** Plain data of the configuration that a forwarding node serves under. */

/** What may be done again with a request that has, or may have, run. */
export const retryRules = {
    /** Idempotent: the whole request may run again. */
    repeatable: "repeatable",
    /** A stream that another upstream can continue after its last event. */
    resumable: "resumable",
    /** At most one run. */
    once: "once",
} as const;

/** One of {@link retryRules}. */
export type RetryRule = typeof retryRules[keyof typeof retryRules];

/** One target of a route, with its share of the traffic. */
export interface RouteTarget {
    readonly service: string;
    /** Relative share, not a percentage. */
    readonly weight: number;
}

/** Rule that sends requests of one host and path prefix to a service. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly retryRule: RetryRule;
    /** Whether answers are event streams. */
    readonly isStream: boolean;
    /** Longest time that a caller is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Target for the first byte of a stream or the whole of another answer, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Rank of the route; 0 is the most urgent. */
    readonly priority: number;
    /** Most upstreams that may run one request. */
    readonly maxRuns: number;
    readonly targets: readonly RouteTarget[];
    /** Whether callers need no key. */
    readonly isAuthExempt: boolean;
}

/** Engine limits of a model service. */
export interface EngineLimits {
    /** Requests that one engine decodes at once. */
    readonly slots: number;
    /** Tokens that fit into one engine's KV cache. */
    readonly kvCacheTokens: number;
}

/** Bounds within which a service's upstreams may be ordered, and what they cost. */
export interface ScalingBounds {
    /** Fewest upstreams in each data centre. */
    readonly min: number;
    /** Most upstreams in each data centre. */
    readonly max: number;
    /** Time from an order to the first request served, in milliseconds. */
    readonly bootMs: number;
    /** Price of a reclaimable upstream as a share of an on-demand one's; undefined where there are none. */
    readonly reclaimablePriceRatio?: number;
    /** Price of an on-demand upstream by data centre, per second. */
    readonly prices: Readonly<Record<string, number>>;
}

/** A service that routes lead to. */
export interface ServedService {
    readonly name: string;
    /** Connections that one upstream accepts from all nodes together. */
    readonly maxConnections: number;
    readonly engine?: EngineLimits;
    readonly scaling?: ScalingBounds;
}

/** Limit on what one client account may use over all nodes. */
export interface AccountQuota {
    readonly unit: "requests" | "tokens";
    /** Units per second. */
    readonly ratePerS: number;
    /** Units that may be used at once beyond the rate. */
    readonly burst: number;
    /** Units that a request without a token count uses. */
    readonly defaultCost: number;
}

/** A client account with its keys. */
export interface ServedAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Rank that replaces the route's. */
    readonly priority?: number;
    /** Undefined when there is no limit. */
    readonly quota?: AccountQuota;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A whole configuration. Higher versions replace lower ones. */
export interface ServingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServedService[];
    readonly accounts: readonly ServedAccount[];
    readonly limits: CallerLimits;
}
