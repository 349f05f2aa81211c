/** Plain data of fleet decisions. */

import type { VmMarket, VmOffer } from "../platform/types";

/** A VM of a service as the fleet policy sees it. */
export interface FleetVm {
    readonly id: string;
    readonly dataCentre: string;
    readonly machineClass: string;
    readonly market: VmMarket;
    readonly slots: number;
    /** Requests running or waiting there. */
    readonly load: number;
    readonly pricePerHour: number;
    /** Whether it is leaving or being drained. */
    readonly isLeaving: boolean;
}

/** What a fleet decision is made from. */
export interface FleetPolicyInput {
    readonly vms: readonly FleetVm[];
    readonly offers: readonly VmOffer[];
    /** Slots that the load needs, headroom included. */
    readonly neededSlots: number;
    /** Slots of a new VM. */
    readonly slotsPerVm: number;
    /** Share of reclaimable VMs taken per hour, by data centre; measured. */
    readonly reclaimsPerHour: ReadonlyMap<string, number>;
    /** Offers that were refused lately, as named by `nameOffer`. */
    readonly refusedOffers: ReadonlySet<string>;
    /** Fewest VMs that stay. */
    readonly minVms: number;
}

/** What is to be changed. */
export interface FleetPlan {
    /** Offers to take, cheapest first. */
    readonly requests: readonly VmOffer[];
    /** VMs to drain and release. */
    readonly releases: readonly string[];
    /** Whether the needed slots are there after the loss of any one data centre, once the plan is carried out. */
    readonly survivesDataCentreLoss: boolean;
}

/** Decides the fleet of one service. */
export interface FleetPolicy {
    readonly name: string;
    plan(input: FleetPolicyInput): FleetPlan;
}
