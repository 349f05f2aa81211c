import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { splitByDataCentre } from "../_lib/splitByDataCentre";

/** A node as far as the plan of links is concerned. */
export interface LinkCandidate {
    readonly nodeId: string;
    /** Data centre of the node; undefined if it is not known, as in records of older versions. */
    readonly dataCentre?: string;
}

/** Options of {@link planLinks}. */
export interface PlanLinksOptions {
    readonly self: LinkCandidate;
    /** Other nodes that may be reachable. */
    readonly others: readonly LinkCandidate[];
}

/** Which links a node keeps, and what it does for the others. */
export interface LinkPlan {
    /** Whether this node is an aggregator: it passes messages on between its data centre and the others. */
    readonly isAggregator: boolean;
    /** Aggregators of all data centres, without this node. */
    readonly aggregators: ReadonlySet<string>;
    /** Nodes that this node dials. */
    readonly dialTargets: readonly string[];
}

const aggregatorsPerDataCentre = 2; // one goes on when the other is lost

/**
 * Plans the links of a node as a tree of two levels: each data centre has two aggregators, chosen by rendezvous hashing.
 * Every node is linked to those of its data centre, and the aggregators of all data centres to each other. The number of
 * links of a node does not grow with the number of nodes, except for those of an aggregator within its data centre.
 *
 * @param options - the node and the others
 * @returns the plan
 */
export const planLinks = ({ self, others }: PlanLinksOptions): LinkPlan => {
    const byCentre = splitByDataCentre([self, ...others]);
    const local = selectAggregators(self.dataCentre, byCentre);
    const isAggregator = local.includes(self.nodeId);
    const all = [...byCentre.keys()].flatMap(dataCentre => selectAggregators(dataCentre, byCentre));
    const aggregators = new Set(all.filter(nodeId => nodeId !== self.nodeId));
    const dialTargets = isAggregator
        ? [...aggregators].filter(nodeId => nodeId > self.nodeId) // the other one dials otherwise
        : local;
    return { isAggregator, aggregators, dialTargets };
};

const selectAggregators = (
    dataCentre: string | undefined,
    byCentre: ReadonlyMap<string | undefined, readonly LinkCandidate[]>,
): string[] => {
    const nodeIds = (byCentre.get(dataCentre) ?? []).map(node => node.nodeId);
    return rankByRendezvous(`aggregator ${dataCentre ?? ""}`, nodeIds).slice(0, aggregatorsPerDataCentre);
};
