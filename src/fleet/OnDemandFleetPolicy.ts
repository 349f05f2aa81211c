import { CheapestFleetPolicy } from "./CheapestFleetPolicy";
import type { FleetPlan, FleetPolicy, FleetPolicyInput } from "./types";

/** Takes on-demand VMs alone; kept for comparison. */
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
