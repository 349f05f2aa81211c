import type { LinkPlan } from "./planLinks";

/** Options of {@link selectRelayTargets}. */
export interface SelectRelayTargetsOptions {
    readonly plan: LinkPlan;
    /** Names of the nodes to which a link is up. */
    readonly linked: readonly string[];
    /** Node from which the message arrived; undefined if this node created it. */
    readonly source: string | undefined;
}

/**
 * Selects the nodes to which a message for all nodes is sent on. An aggregator passes messages of its leaves on to
 * everybody, and messages of other aggregators to its leaves.
 *
 * @param options - the node's links and the message's source
 * @returns names of the nodes
 */
export const selectRelayTargets = ({ plan, linked, source }: SelectRelayTargetsOptions): string[] => {
    if (source === undefined) {
        return [...linked];
    }
    if (!plan.isAggregator) {
        return [];
    }
    const isFromAggregator = plan.aggregators.has(source);
    return linked.filter(nodeId => nodeId !== source && !(isFromAggregator && plan.aggregators.has(nodeId)));
};
