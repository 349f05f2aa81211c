import type { ScalingBounds } from "../routes/types";

/** What the size of a service's fleet is planned from. */
export interface InstancePlanInput {
    readonly scaling: ScalingBounds;
    /** Data centres in which the service may run. */
    readonly dataCentres: readonly string[];
    /** Requests in progress at all upstreams, at its recent highest. */
    readonly peakInFlight: number;
    /** Requests that one upstream works on at once. */
    readonly slots: number;
}

const targetShare = 0.4; // of an engine's slots; beyond it the time between tokens grows past its target
const defaultPrice = 1;

/**
 * Plans how many upstreams a service needs in each data centre: the fewest allowed everywhere, and what the load needs
 * beyond that in the cheapest data centres. The load must still fit when the data centre with most upstreams is lost.
 *
 * @param input - bounds, prices and load
 * @returns upstreams by data centre
 */
export const planInstanceCounts = (input: InstancePlanInput): ReadonlyMap<string, number> => {
    const { scaling, peakInFlight, slots } = input;
    const counts = new Map(input.dataCentres.map(name => [name, scaling.min]));
    const cheapestFirst = [...input.dataCentres].sort((a, b) =>
        (scaling.prices[a] ?? defaultPrice) - (scaling.prices[b] ?? defaultPrice) || (a < b ? -1 : 1)
    );
    const needed = Math.ceil(peakInFlight / (slots * targetShare));
    while (countAfterLoss(counts) < needed) {
        const next = pickSmallest(cheapestFirst, counts, scaling.max);
        if (next === undefined) {
            break;
        }
        counts.set(next, counts.get(next)! + 1);
    }
    return counts;
};

/** Upstreams that are left when the data centre with most of them is lost. */
const countAfterLoss = (counts: ReadonlyMap<string, number>): number => {
    const all = [...counts.values()];
    return all.reduce((sum, count) => sum + count, 0) - Math.max(0, ...all);
};

/** The data centre with fewest upstreams, the cheaper one of equals. */
const pickSmallest = (
    cheapestFirst: readonly string[],
    counts: ReadonlyMap<string, number>,
    max: number,
): string | undefined => {
    const open = cheapestFirst.filter(name => counts.get(name)! < max);
    const least = Math.min(...open.map(name => counts.get(name)!));
    return open.find(name => counts.get(name) === least);
};
