import type { PlacementPolicy, PlacementRequest, UpstreamView } from "../placement/types";
import type { WorkBalance } from "./WorkBalance";

/** Options of {@link WorkPlacementPolicy}. */
export interface WorkPlacementPolicyOptions {
    readonly balance: Pick<WorkBalance, "computeLoad">;
    /** Chooses by load. */
    readonly policy: PlacementPolicy;
}

/** Places requests by the work that upstreams still have to do, in place of the number of their requests. */
export class WorkPlacementPolicy implements PlacementPolicy {
    constructor(private readonly options: WorkPlacementPolicyOptions) {}

    choose(request: PlacementRequest, views: readonly UpstreamView[]): UpstreamView | undefined {
        const { balance, policy } = this.options;
        const weighted = views.map(view => ({
            ...view,
            inFlight: balance.computeLoad(request.service, view),
        }));
        const chosen = policy.choose(request, weighted);
        return views.find(view => view.id === chosen?.id);
    }
}
