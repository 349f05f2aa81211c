import { rankByRendezvous } from "../_lib/rankByRendezvous";

/** Options of {@link selectTrialUpstreams}. */
export interface SelectTrialUpstreamsOptions {
    /** What tells the roll-out apart from others. */
    readonly rolloutId: string;
    /** Ids of the version's upstreams. */
    readonly candidates: readonly string[];
    /** Number of upstreams of the other versions. */
    readonly baselineCount: number;
    /** Share of the requests that the version gets. */
    readonly share: number;
}

const minUpstreams = 2; // one faulty upstream has to be told from a faulty version

/**
 * Selects the upstreams that a version on trial gets its requests at, the same on all nodes: so few that each has about the
 * load of an upstream of the other versions, as a version may be bad only under load.
 *
 * @param options - the upstreams and the version's share
 * @returns ids of the upstreams
 */
export const selectTrialUpstreams = (options: SelectTrialUpstreamsOptions): ReadonlySet<string> => {
    const { rolloutId, candidates, baselineCount, share } = options;
    const count = Math.max(minUpstreams, Math.ceil(baselineCount * share));
    return new Set(rankByRendezvous(rolloutId, candidates).slice(0, count));
};
