/** Types of the configuration under which a node forwards requests. */

import type { RolloutOrder } from "../rollouts/types";

/** How a request may be retried after it has run or may have run. */
export const retryRules = {
    /** The request is idempotent and may run again from the start. */
    repeatable: "repeatable",
    /** The answer is a stream that another upstream can resume after the last event. */
    resumable: "resumable",
    /** The request may run at most once. */
    once: "once",
} as const;

/** One of {@link retryRules}. */
export type RetryRule = typeof retryRules[keyof typeof retryRules];

/** One target of a route's traffic split. */
export interface RouteTarget {
    readonly service: string;
    /** Weight relative to the route's other targets, not a percentage. */
    readonly weight: number;
}

/** Rule that forwards requests with one host and path prefix to one of its target services. */
export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly retryRule: RetryRule;
    /** Whether answers are event streams. */
    readonly isStream: boolean;
    /** Maximum duration of a request, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency target for the first byte of a stream or for the complete answer otherwise, in milliseconds. */
    readonly targetLatencyMs: number;
    /**
     * Longest pause between the events of a stream for which it is on time, in milliseconds; absent if none is stated, and
     * in configurations that come from nodes of older versions.
     */
    readonly eventGapTargetMs?: number;
    /** Priority of the route's requests; 0 is the most urgent. */
    readonly priority: number;
    /** Maximum number of times that one request may run. */
    readonly maxRuns: number;
    readonly targets: readonly RouteTarget[];
    /** Whether requests are served without an API key. */
    readonly isAuthExempt: boolean;
}

/** Engine limits of a model service. */
export interface EngineLimits {
    /** Requests that one engine can decode concurrently. */
    readonly slots: number;
    /** Capacity of one engine's KV cache, in tokens. */
    readonly kvCacheTokens: number;
}

/** Limits for scaling a service's upstreams, and their prices. */
export interface ScalingBounds {
    /** Minimum number of upstreams in each data centre. */
    readonly min: number;
    /** Maximum number of upstreams in each data centre. */
    readonly max: number;
    /** Time from an order until the upstream serves its first request, in milliseconds. */
    readonly bootMs: number;
    /** Price of a reclaimable upstream relative to an on-demand one; undefined if there are none. */
    readonly reclaimablePriceRatio?: number;
    /** Price of an on-demand upstream per second, by data centre. */
    readonly prices: Readonly<Record<string, number>>;
}

/** A service that requests are forwarded to. */
export interface ServedService {
    readonly name: string;
    /** Maximum number of connections of all nodes together to one upstream. */
    readonly maxConnections: number;
    readonly engine?: EngineLimits;
    readonly scaling?: ScalingBounds;
}

/** Limit on the use of one client account, over all nodes. */
export interface AccountQuota {
    readonly unit: "requests" | "tokens";
    /** Rate in units per second. */
    readonly ratePerS: number;
    /** Units that may be used beyond the rate in one burst. */
    readonly burst: number;
    /** Units charged for a request that states no token count. */
    readonly defaultCost: number;
}

/** A client account with its keys. */
export interface ServedAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Priority that overrides that of the route. */
    readonly priority?: number;
    /** Undefined if the account has no limit. */
    readonly quota?: AccountQuota;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A record that an operator writes: the configuration, or an order. */
export type OperatorRecord = ServingConfiguration | RolloutOrder;

/** A complete configuration. Higher versions replace lower ones. */
export interface ServingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServedService[];
    readonly accounts: readonly ServedAccount[];
    readonly limits: CallerLimits;
}
