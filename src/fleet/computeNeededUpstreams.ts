/** What the need for upstreams follows from. */
export interface NeededUpstreamsInput {
    /** Requests in progress at all upstreams, at their recent highest. */
    readonly peakInFlight: number;
    /** Requests that one upstream works on at once. */
    readonly slots: number;
    /** Need that an earlier holder of the duty saw; 0 when the load has been observed long enough. */
    readonly initialNeed: number;
}

const targetShare = 0.4; // of an engine's slots; beyond it the time between tokens grows past its target

/**
 * Computes how many upstreams the load of a service needs.
 *
 * @param input - the load
 * @returns upstreams
 */
export const computeNeededUpstreams = (input: NeededUpstreamsInput): number =>
    Math.max(input.initialNeed, Math.ceil(input.peakInFlight / (input.slots * targetShare)));
