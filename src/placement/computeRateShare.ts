/** Options of {@link computeRateShare}. */
export interface ComputeRateShareOptions {
    /** Requests a second that the upstream takes from all nodes. */
    readonly limitPerS: number;
    /** Place of this node in the order of the live nodes for the upstream, from 0; the same on all nodes. */
    readonly rank: number;
    readonly liveNodes: number;
    /** Live nodes and those that may only be out of this node's reach; at least {@link liveNodes}. */
    readonly presumedNodes: number;
}

const minLimitPerS = 0.25; // an answer now and then tells when the limit has ended
const spareRequests = 3;
const spareSeconds = 2;

/**
 * Computes the part of an upstream's limit that one node may use. Each node that uses the upstream may have saved up one
 * request, so that the fewer nodes use it, the lower the limit is.
 *
 * @param options - the limit and the nodes
 * @returns requests a second of this node; 0 for a node that leaves the upstream to the others
 * @example
 * computeRateShare({ limitPerS: 4, rank: 0, liveNodes: 8, presumedNodes: 8 }); // 0.5
 */
export const computeRateShare = (options: ComputeRateShareOptions): number => {
    const { rank, liveNodes, presumedNodes } = options;
    const limitPerS = Math.max(minLimitPerS, options.limitPerS);
    const users = Math.min(liveNodes, Math.floor(spareRequests + spareSeconds * limitPerS));
    return rank < users ? limitPerS / users * liveNodes / presumedNodes : 0;
};
