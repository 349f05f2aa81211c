/** Types for the quarantine of requests and prompt parts that crash upstreams. */

/** By what a request can be recognised when it, or another one like it, comes again. */
export interface RequestTraits {
    /** Ids of the parts of its prompt that other requests may share. */
    readonly partIds: readonly string[];
    /** Equal for the request and its repeats. May be computed when it is read; undefined before its body is known. */
    readonly identity: string | undefined;
}

/** The parts of the prompt of a request that ended when the connection to its upstream broke off. */
export interface BrokenPrompt {
    /** Equal for the attempts of one request. */
    readonly key: string;
    /** Ids of the parts of its prompt that other requests may share. */
    readonly partIds: readonly string[];
    /** Whether the upstream had begun to answer it. */
    readonly hasBegun: boolean;
}

/** A request that ended when the connection to its upstream broke off, before or soon after its answer had begun. */
export interface BrokenRequest extends BrokenPrompt {
    /** Equal for the request and its repeats. */
    readonly identity: string;
    /** Time from the send to the break, in milliseconds. */
    readonly ranMs: number;
}

/** A part that is to be quarantined, and why. */
export interface CrashingPart {
    readonly id: string;
    /** Number of upstreams that crashed under requests with it. */
    readonly upstreams: number;
    /** Number of different requests with it that ended at these crashes. */
    readonly requests: number;
}

/** A request that is to be quarantined, and why. */
export interface CrashingRequest {
    readonly identity: string;
    /** Number of upstreams that crashed under it. */
    readonly upstreams: number;
}
