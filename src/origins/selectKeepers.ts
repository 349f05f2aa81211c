import { rankByRendezvous } from "../_lib/rankByRendezvous";
import type { LinkPlan } from "../peers/planLinks";

/** Options of {@link selectKeepers}. */
export interface SelectKeepersOptions {
    readonly nodeId: string;
    readonly plan: Pick<LinkPlan, "isAggregator" | "aggregators">;
    /** Nodes to which a link is up. */
    readonly linked: readonly string[];
    /** Data centre of each node. */
    readonly dataCentres: ReadonlyMap<string, string>;
    /** Number of keepers of an aggregator. */
    readonly count: number;
}

/**
 * Selects the nodes that keep what a node knows, so that it is known after the node is lost: the aggregators that a leaf
 * is linked to, and for an aggregator some others, the first one in another data centre if there is one.
 *
 * @param options - the node, its links and its plan
 * @returns names of the keepers
 */
export const selectKeepers = (options: SelectKeepersOptions): string[] => {
    const { nodeId, plan, linked, dataCentres, count } = options;
    const aggregators = linked.filter(other => plan.aggregators.has(other));
    if (!plan.isAggregator) {
        return aggregators;
    }
    const ranked = rankByRendezvous(`keepers of ${nodeId}`, aggregators);
    const isElsewhere = (other: string): boolean => dataCentres.get(other) !== dataCentres.get(nodeId);
    const first = ranked.find(isElsewhere) ?? ranked[0];
    return first === undefined ? [] : [first, ...ranked.filter(other => other !== first)].slice(0, count);
};
