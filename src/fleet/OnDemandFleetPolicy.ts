import { CheapestFleetPolicy } from "./CheapestFleetPolicy";
import type { FleetPlan, FleetPolicy, FleetPolicyInput } from "./types";

/** Requests on-demand VMs only; a baseline for comparison with {@link CheapestFleetPolicy}. */
export class OnDemandFleetPolicy implements FleetPolicy {
    readonly name = "on-demand";
    private readonly inner = new CheapestFleetPolicy();

    plan(input: FleetPolicyInput): FleetPlan {
        return this.inner.plan({
            ...input,
            offers: input.offers.filter(offer => offer.market === "on-demand"),
        });
    }
}
