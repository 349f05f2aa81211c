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
    /** Data centres in which no further reclaimable upstreams can be had now. */
    readonly dataCentresWithoutReclaimable: ReadonlySet<string>;
    /** Upstreams that the load needs. */
    readonly needed: number;
    /** Upstreams that serve now, those that are leaving left out, by data centre. */
    readonly serving: ReadonlyMap<string, InstanceCounts>;
    /** Reclaimable upstreams that were ordered and do not serve yet, by data centre. */
    readonly booting: ReadonlyMap<string, number>;
}

type Counts = ReadonlyMap<string, number>;

const defaultPrice = 1;
const calmLosses = 1; // a reclaim takes one data centre's
const scarceLosses = 2; // where the cloud has no more, further data centres are reclaimed before others boot

/**
 * Plans how many upstreams a service has in each data centre. Reclaimable upstreams carry the load where they are
 * cheaper, spread so that enough are left when the data centre with most of them is reclaimed. On-demand upstreams stand
 * in where reclaimable ones cannot be had, and are given back only when reclaimable ones serve in their place.
 *
 * @param input - bounds, prices, need and what there is
 * @returns upstreams by data centre
 */
export const planInstances = (input: InstancePlanInput): ReadonlyMap<string, InstanceCounts> => {
    const cheapestFirst = sortByPrice(input.dataCentres, input.scaling);
    const reclaimable = planReclaimable(input, cheapestFirst);
    const ready = countEach(
        cheapestFirst,
        name => Math.min(reclaimable.get(name)!, countServing(input, name)),
    );
    const expected = countEach(
        cheapestFirst,
        name => Math.min(reclaimable.get(name)!, countServing(input, name) + (input.booting.get(name) ?? 0)),
    );
    const wanted = planOnDemand(input, cheapestFirst, expected, () => input.scaling.max);
    const kept = planOnDemand(input, cheapestFirst, ready, name => input.serving.get(name)?.onDemand ?? 0);
    return new Map(cheapestFirst.map(name => [name, {
        onDemand: Math.max(wanted.get(name)!, kept.get(name)!),
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

/** Spreads reclaimable upstreams evenly; where no further ones can be had, none that serves is given back. */
const planReclaimable = (input: InstancePlanInput, cheapestFirst: readonly string[]): Counts => {
    const { scaling, needed, dataCentresWithoutReclaimable } = input;
    if ((scaling.reclaimablePriceRatio ?? defaultPrice) >= defaultPrice) {
        return countEach(cheapestFirst, () => 0);
    }
    const counts = new Map(cheapestFirst.map(name => [name, scaling.min]));
    addUntil(
        counts,
        name => counts.get(name)! < scaling.max,
        () => countAfterReclaims(counts, calmLosses) >= needed,
    );
    return countEach(
        cheapestFirst,
        name =>
            dataCentresWithoutReclaimable.has(name)
                ? Math.min(scaling.max, countServing(input, name))
                : counts.get(name)!,
    );
};

/** Adds on-demand upstreams to reclaimable ones until the fewest are everywhere and the load fits after a reclaim. */
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
    const losses = dataCentresWithoutReclaimable.size > 0 ? scarceLosses : calmLosses;
    addUntil(counts, hasRoom, () => countAfterReclaims(reclaimable, losses) + sum(counts) >= needed);
    return counts;
};

/** Reclaimable upstreams that are left when the data centres with most of them are reclaimed. */
const countAfterReclaims = (reclaimable: Counts, losses: number): number =>
    [...reclaimable.values()].sort((a, b) => b - a).slice(losses).reduce((total, count) => total + count, 0);

const sum = (counts: Counts): number => [...counts.values()].reduce((total, count) => total + count, 0);

/** Adds upstreams one by one where fewest are, in the order of the counts among equals, until there are enough. */
const addUntil = (
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

/** The data centre with fewest upstreams, the first of equals. */
const pickSmallest = (names: readonly string[], counts: Counts): string | undefined => {
    const least = Math.min(...names.map(name => counts.get(name)!));
    return names.find(name => counts.get(name) === least);
};
