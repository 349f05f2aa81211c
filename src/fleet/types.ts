/** Types of fleet policies. */

import type { VmMarket, VmOffer } from "../platform/types";

/** A VM of a service, as passed to the fleet policy. */
export interface FleetVm {
    readonly id: string;
    readonly dataCentre: string;
    readonly machineClass: string;
    readonly market: VmMarket;
    readonly slots: number;
    /** Requests running or queued on the VM. */
    readonly load: number;
    readonly pricePerHour: number;
    /** Whether the VM is leaving or being drained. */
    readonly isLeaving: boolean;
}

/** Input of a fleet policy. */
export interface FleetPolicyInput {
    readonly vms: readonly FleetVm[];
    readonly offers: readonly VmOffer[];
    /** Slots that the load needs, including headroom. */
    readonly neededSlots: number;
    /** Slots of a new VM. */
    readonly slotsPerVm: number;
    /** Estimated share of reclaimable VMs that is reclaimed per hour, by data centre. */
    readonly reclaimsPerHour: ReadonlyMap<string, number>;
    /** Keys of the offers that were refused recently, as formatted by `formatOfferKey`. */
    readonly refusedOffers: ReadonlySet<string>;
    /** Minimum number of VMs. */
    readonly minVms: number;
}

/** Changes that a fleet policy asks for. */
export interface FleetPlan {
    /** Offers to request VMs from, cheapest first. */
    readonly requests: readonly VmOffer[];
    /** VMs to drain and release. */
    readonly releases: readonly string[];
    /** Whether the needed slots remain after the loss of any one data centre, once the plan is executed. */
    readonly survivesDataCentreLoss: boolean;
}

/** Decides which VMs of one service to request and release. */
export interface FleetPolicy {
    readonly name: string;
    plan(input: FleetPolicyInput): FleetPlan;
}
