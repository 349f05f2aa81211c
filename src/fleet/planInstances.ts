import type { ScalingBounds } from "../routes/types";

/** Upstreams of one service in one data centre, by how they are paid for. */
export interface InstanceCounts {
    readonly onDemand: number;
    readonly reclaimable: number;
}

/** What the size of a service's fleet is planned from. */
export interface InstancePlanInput {
    readonly scaling: ScalingBounds;
    /** Data centres in which the service may run. */
    readonly dataCentres: readonly string[];
    /** Data centres in which no reclaimable upstreams can be had now. */
    readonly withoutReclaimable: ReadonlySet<string>;
    /** Requests in progress at all upstreams, at its recent highest. */
    readonly peakInFlight: number;
    /** Requests that one upstream works on at once. */
    readonly slots: number;
}

const targetShare = 0.4; // of an engine's slots; beyond it the time between tokens grows past its target
const defaultPrice = 1;

/**
 * Plans how many upstreams a service needs in each data centre: the fewest allowed everywhere, and what the load needs
 * beyond that in the cheapest data centres, so that the load still fits when the data centre with most upstreams is
 * lost. The cheapest data centre has on-demand upstreams, the others reclaimable ones where these are cheaper and can
 * be had: a reclaim takes all of them in one data centre, never in all at once.
 *
 * @param input - bounds, prices and load
 * @returns upstreams by data centre
 */
export const planInstances = (input: InstancePlanInput): ReadonlyMap<string, InstanceCounts> => {
    const { scaling, withoutReclaimable } = input;
    const cheapestFirst = sortByPrice(input.dataCentres, scaling);
    const counts = planCounts(input, cheapestFirst);
    const isCheaper = (scaling.reclaimableShare ?? defaultPrice) < defaultPrice;
    const planned = new Map<string, InstanceCounts>();
    for (const [dataCentre, count] of counts) {
        const isReclaimable = isCheaper
            && dataCentre !== cheapestFirst[0]
            && !withoutReclaimable.has(dataCentre);
        planned.set(dataCentre, {
            onDemand: isReclaimable ? 0 : count,
            reclaimable: isReclaimable ? count : 0,
        });
    }
    return planned;
};

const sortByPrice = (dataCentres: readonly string[], { prices }: ScalingBounds): string[] =>
    [...dataCentres].sort((a, b) =>
        (prices[a] ?? defaultPrice) - (prices[b] ?? defaultPrice) || (a < b ? -1 : 1)
    );

const planCounts = (
    { scaling, peakInFlight, slots }: InstancePlanInput,
    cheapestFirst: readonly string[],
): ReadonlyMap<string, number> => {
    const counts = new Map(cheapestFirst.map(name => [name, scaling.min]));
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
