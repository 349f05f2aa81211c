import { rankByRendezvous } from "../_lib/rankByRendezvous";
import type { RandomSource } from "../kernel/types";
import type { PlacementPolicy, PlacementRequest, UpstreamView } from "./types";

/** Options of {@link BoundedAffinityPolicy}. */
export interface BoundedAffinityPolicyOptions {
    readonly random: RandomSource;
    /** Load above the mean, as a share of it, up to which an upstream is chosen for its prefixes; default 0.25. */
    readonly slack?: number;
}

const defaultSlack = 0.25;
const minSlackRequests = 2; // at low load, a share of the mean is less than one request

/**
 * Places requests with a common prompt prefix on the same upstream among those whose load is near the mean, and on the
 * least loaded one if there is none (consistent hashing with bounded loads, Mirrokni et al. 2018). Every node ranks the
 * upstreams of a prefix in the same order, so the nodes need no coordination.
 */
export class BoundedAffinityPolicy implements PlacementPolicy {
    private readonly slack: number;

    constructor(private readonly options: BoundedAffinityPolicyOptions) {
        this.slack = options.slack ?? defaultSlack;
    }

    choose(request: PlacementRequest, views: readonly UpstreamView[]): UpstreamView | undefined {
        if (views.length === 0) {
            return undefined;
        }
        if (request.affinityKey === undefined) {
            return this.pickLeastLoaded(views);
        }
        const meanLoad = views.reduce((sum, view) => sum + view.inFlight / view.slots, 0) / views.length;
        const withinBound = views.filter(view =>
            view.inFlight <= meanLoad * (1 + this.slack) * view.slots + minSlackRequests
        );
        return pickPreferred(request.affinityKey, withinBound) ?? this.pickLeastLoaded(views);
    }

    /** Breaks ties at random; otherwise nodes with the same load reports would all pick the same upstream. */
    private pickLeastLoaded(views: readonly UpstreamView[]): UpstreamView {
        const least = Math.min(...views.map(view => view.inFlight / view.slots));
        const lowest = views.filter(view => view.inFlight / view.slots <= least);
        return lowest[this.options.random.drawInt(lowest.length)];
    }
}

/** Picks the highest-ranked upstream of a key by rendezvous hashing (Thaler and Ravishankar 1998). */
const pickPreferred = (key: string, views: readonly UpstreamView[]): UpstreamView | undefined => {
    const [best] = rankByRendezvous(key, views.map(view => view.id));
    return views.find(view => view.id === best);
};
