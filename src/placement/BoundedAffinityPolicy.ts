import { rankByRendezvous } from "../_lib/rankByRendezvous";
import type { RandomSource } from "../kernel/types";
import type { PlacementPolicy, PlacementRequest, UpstreamView } from "./types";

/** Options of {@link BoundedAffinityPolicy}. */
export interface BoundedAffinityPolicyOptions {
    readonly random: RandomSource;
    /** Load above the mean that an upstream may carry for the sake of its cached prefixes; default 0.25. */
    readonly slack?: number;
}

const defaultSlack = 0.25;
const slackRequests = 2; // at low load a share of the mean is less than one request

/**
 * Keeps requests with a common prompt prefix on one upstream as long as its load stays near the mean, and takes the
 * least loaded one otherwise (consistent hashing with bounded loads, Mirrokni et al. 2018). Every node ranks the
 * upstreams of a prefix in the same order, so that nothing needs to be told.
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
        const near = views.filter(view =>
            view.inFlight <= meanLoad * (1 + this.slack) * view.slots + slackRequests
        );
        return pickHighest(request.affinityKey, near) ?? this.pickLeastLoaded(views);
    }

    /** Ties go to a random one, so that nodes with the same reports do not all take the same. */
    private pickLeastLoaded(views: readonly UpstreamView[]): UpstreamView {
        const least = Math.min(...views.map(view => view.inFlight / view.slots));
        const lowest = views.filter(view => view.inFlight / view.slots <= least);
        return lowest[this.options.random.drawInt(lowest.length)];
    }
}

/** Rendezvous hashing (Thaler and Ravishankar 1998). */
const pickHighest = (key: string, views: readonly UpstreamView[]): UpstreamView | undefined => {
    const [best] = rankByRendezvous(key, views.map(view => view.id));
    return views.find(view => view.id === best);
};
