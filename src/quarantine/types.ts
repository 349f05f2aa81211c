/** Types for the quarantine of prompt parts that crash upstreams. */

/** One request that ended when the connection to its upstream broke off, before or soon after its answer had begun. */
export interface BrokenRequest {
    /** Equal for the attempts of one request. */
    readonly key: string;
    /** Ids of the parts of its prompt that other requests may share. */
    readonly partIds: readonly string[];
    /** Whether the upstream had begun to answer it. */
    readonly hasBegun: boolean;
}

/** A part that is to be quarantined, and why. */
export interface CrashingPart {
    readonly id: string;
    /** Number of upstreams that crashed under requests with it. */
    readonly upstreams: number;
    /** Number of different requests with it that ended at these crashes. */
    readonly requests: number;
}
