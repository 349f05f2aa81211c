/** Options of {@link computePlaceShare}. */
export interface ComputePlaceShareOptions {
    /** Places of the upstream for all nodes together. */
    readonly places: number;
    /** Places of the upstreams before it, in an order that is the same on all nodes. */
    readonly offset: number;
    /** Place of this node in the order of the nodes, from 0; the same on all nodes. */
    readonly rank: number;
    readonly nodes: number;
}

/**
 * Computes how many of an upstream's places one node may use. The places of all upstreams are dealt to the nodes in turn,
 * so that the parts of any two nodes differ by one at the most, at each upstream and in sum.
 *
 * @param options - the upstream's places, and the nodes
 * @returns number of places
 * @example
 * computePlaceShare({ places: 5, offset: 0, rank: 0, nodes: 2 }); // 3
 */
export const computePlaceShare = ({ places, offset, rank, nodes }: ComputePlaceShareOptions): number =>
    countBelow(offset + places, rank, nodes) - countBelow(offset, rank, nodes);

/** Counts the numbers from 0 up to a bound that fall to a node. */
const countBelow = (bound: number, rank: number, nodes: number): number =>
    Math.max(0, Math.ceil((bound - rank) / nodes));
