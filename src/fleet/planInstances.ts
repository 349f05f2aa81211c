import type { ScalingBounds } from "../routes/types";

/** Number of upstreams of one service in one data centre, by market. */
export interface InstanceCounts {
    readonly onDemand: number;
    readonly reclaimable: number;
}

/** Input of {@link planInstances}. */
export interface InstancePlanInput {
    readonly scaling: ScalingBounds;
    /** Data centres in which the service may run. */
    readonly dataCentres: readonly string[];
    /** Data centres in which no further reclaimable upstreams are available now. */
    readonly dataCentresWithoutReclaimable: ReadonlySet<string>;
    /** Number of upstreams that the load needs. */
    readonly needed: number;
    /** Serving upstreams by data centre, without those that are leaving. */
    readonly serving: ReadonlyMap<string, InstanceCounts>;
    /** Reclaimable upstreams that were ordered and are not serving yet, by data centre. */
    readonly booting: ReadonlyMap<string, number>;
}

type Counts = ReadonlyMap<string, number>;

const defaultPrice = 1; // also the price share at which reclaimable upstreams save nothing
const defaultLosses = 1; // data centres whose upstreams one reclaim takes
const lossesWhenUnavailable = 2; // without replacements, a second reclaim may precede the boot of on-demand upstreams

/**
 * Plans the number of upstreams of a service in each data centre. Where reclaimable upstreams are cheaper, they are
 * spread over the data centres; enough remain if the data centre with the most of them is reclaimed. On-demand
 * upstreams replace unavailable reclaimable ones, and are released only after reclaimable ones serve in their place.
 *
 * @param input - bounds, prices, need and existing upstreams
 * @returns planned upstreams by data centre
 */
export const planInstances = (input: InstancePlanInput): ReadonlyMap<string, InstanceCounts> => {
    const cheapestFirst = sortByPrice(input.dataCentres, input.scaling);
    const reclaimable = planReclaimable(input, cheapestFirst);
    const servingReclaimable = countEach(
        cheapestFirst,
        name => Math.min(reclaimable.get(name)!, countServing(input, name)),
    );
    const expectedReclaimable = countEach(
        cheapestFirst,
        name => Math.min(reclaimable.get(name)!, countServing(input, name) + (input.booting.get(name) ?? 0)),
    );
    const requiredOnDemand = planOnDemand(input, cheapestFirst, expectedReclaimable, () => input.scaling.max);
    const retainedOnDemand = planOnDemand(
        input,
        cheapestFirst,
        servingReclaimable,
        name => input.serving.get(name)?.onDemand ?? 0,
    );
    return new Map(cheapestFirst.map(name => [name, {
        onDemand: Math.max(requiredOnDemand.get(name)!, retainedOnDemand.get(name)!),
        reclaimable: reclaimable.get(name)!,
    }]));
};

const sortByPrice = (dataCentres: readonly string[], { prices }: ScalingBounds): string[] =>
    [...dataCentres].sort((a, b) =>
        (prices[a] ?? defaultPrice) - (prices[b] ?? defaultPrice) || (a < b ? -1 : 1)
    );

const countEach = (names: readonly string[], count: (name: string) => number): Counts =>
    new Map(names.map(name => [name, count(name)]));

const countServing = (input: InstancePlanInput, name: string): number =>
    input.serving.get(name)?.reclaimable ?? 0;

/** Spreads reclaimable upstreams evenly; where no more are available, the serving ones are kept. */
const planReclaimable = (input: InstancePlanInput, cheapestFirst: readonly string[]): Counts => {
    const { scaling, needed, dataCentresWithoutReclaimable } = input;
    if ((scaling.reclaimablePriceRatio ?? defaultPrice) >= defaultPrice) {
        return countEach(cheapestFirst, () => 0);
    }
    const counts = new Map(cheapestFirst.map(name => [name, scaling.min]));
    addEvenlyUntil(
        counts,
        name => counts.get(name)! < scaling.max,
        () => countAfterReclaims(counts, defaultLosses) >= needed,
    );
    return countEach(
        cheapestFirst,
        name =>
            dataCentresWithoutReclaimable.has(name)
                ? Math.min(scaling.max, countServing(input, name))
                : counts.get(name)!,
    );
};

/** Adds on-demand upstreams until every data centre has its minimum and the load is served after a reclaim. */
const planOnDemand = (
    { scaling, needed, dataCentresWithoutReclaimable }: InstancePlanInput,
    cheapestFirst: readonly string[],
    reclaimable: Counts,
    readMax: (name: string) => number,
): Counts => {
    const counts = new Map(
        cheapestFirst.map(
            name => [name, Math.min(readMax(name), Math.max(0, scaling.min - reclaimable.get(name)!))],
        ),
    );
    const hasRoom = (name: string): boolean =>
        counts.get(name)! < Math.min(readMax(name), scaling.max - reclaimable.get(name)!);
    const losses = dataCentresWithoutReclaimable.size > 0 ? lossesWhenUnavailable : defaultLosses;
    addEvenlyUntil(counts, hasRoom, () => countAfterReclaims(reclaimable, losses) + sum(counts) >= needed);
    return counts;
};

/** Counts the reclaimable upstreams that remain after the `losses` data centres with the most are reclaimed. */
const countAfterReclaims = (reclaimable: Counts, losses: number): number =>
    [...reclaimable.values()].sort((a, b) => b - a).slice(losses).reduce((total, count) => total + count, 0);

const sum = (counts: Counts): number => [...counts.values()].reduce((total, count) => total + count, 0);

/** Adds upstreams one by one to the data centre with the fewest, the first of equals, until there are enough. */
const addEvenlyUntil = (
    counts: Map<string, number>,
    hasRoom: (name: string) => boolean,
    isEnough: () => boolean,
): void => {
    while (!isEnough()) {
        const next = pickSmallest([...counts.keys()].filter(hasRoom), counts);
        if (next === undefined) {
            return;
        }
        counts.set(next, counts.get(next)! + 1);
    }
};

/** Picks the data centre with the fewest upstreams, the first of equals. */
const pickSmallest = (names: readonly string[], counts: Counts): string | undefined => {
    const least = Math.min(...names.map(name => counts.get(name)!));
    return names.find(name => counts.get(name) === least);
};
