import type { UpstreamClient } from "../upstreams/UpstreamClient";
import { GivenUpRequests } from "./GivenUpRequests";
import type { UpstreamInstance } from "./types";

/** An upstream with this node's connections and requests to it. */
export interface TrackedInstance {
    readonly instance: UpstreamInstance;
    readonly client: UpstreamClient;
    /** Requests of this node in flight at the upstream. */
    inFlight: number;
    /** Requests of this node that a brittle upstream, or one that states a limit, may still read. */
    readonly givenUp: GivenUpRequests;
    /** Monotonic time until which the upstream gets no requests, in milliseconds. */
    ejectedUntilMs: number;
    /** Monotonic time at which data from the upstream last arrived, in milliseconds. */
    lastReceivedMs: number;
    /** Latest monotonic time at which a request was sent that the upstream has answered, in milliseconds. */
    answeredSentMs: number;
    /** Monotonic time of the first request that was sent after data last arrived, in milliseconds. */
    unansweredSinceMs: number;
    /** Monotonic end of a missing entry's grace period, in milliseconds; undefined while the entry is listed. */
    missingGraceEndsMs: number | undefined;
}

/**
 * Creates the state of an upstream to which nothing has been sent.
 *
 * @param instance - the upstream as it is listed
 * @param client - this node's connections to it
 */
export const createTrackedInstance = (
    instance: UpstreamInstance,
    client: UpstreamClient,
): TrackedInstance => ({
    instance,
    client,
    inFlight: 0,
    givenUp: new GivenUpRequests(),
    ejectedUntilMs: -Infinity,
    lastReceivedMs: -Infinity,
    answeredSentMs: -Infinity,
    unansweredSinceMs: -Infinity,
    missingGraceEndsMs: undefined,
});
