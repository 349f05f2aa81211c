/** Input of {@link computeNeededUpstreams}. */
export interface NeededUpstreamsInput {
    /** Recent peak of the requests in progress at all upstreams together. */
    readonly peakInFlight: number;
    /** Requests that one upstream processes concurrently. */
    readonly slots: number;
    /** Upstreams that take few requests, because they state a limit; others have to serve in their place. */
    readonly limitedUpstreams: number;
    /** Need implied by the upstreams of an earlier lease holder; 0 once the load has been observed long enough. */
    readonly initialNeed: number;
}

const targetShare = 0.4; // of an engine's slots; above it the time between tokens exceeds its target

/**
 * Computes the number of upstreams that a service needs.
 *
 * @param input - load, slots per upstream, limited upstreams and initial need
 * @returns number of upstreams
 */
export const computeNeededUpstreams = (input: NeededUpstreamsInput): number =>
    Math.max(input.initialNeed, Math.ceil(input.peakInFlight / (input.slots * targetShare)))
    + input.limitedUpstreams;
