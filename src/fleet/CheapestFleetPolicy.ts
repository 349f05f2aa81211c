import type { VmOffer } from "../platform/types";
import { computeEffectivePrice } from "./computeEffectivePrice";
import { formatOfferKey } from "./formatOfferKey";
import type { FleetPlan, FleetPolicy, FleetPolicyInput, FleetVm } from "./types";

/** Options of {@link CheapestFleetPolicy}. */
export interface CheapestFleetPolicyOptions {
    /** Maximum number of VMs requested by one plan; default 4. */
    readonly maxRequests?: number;
    /** A VM is released only if the remaining slots are at least this multiple of the needed slots; default 1.3. */
    readonly releaseMargin?: number;
}

interface Capacity {
    readonly dataCentre: string;
    readonly slots: number;
}

const defaultMaxRequests = 4;
const defaultReleaseMargin = 1.3;

/**
 * Keeps the cheapest set of VMs that still serves the load after the loss of any one data centre. VMs are requested in
 * ascending order of effective price. A release requires spare capacity, which prevents the fleet from oscillating
 * between requests and releases.
 */
export class CheapestFleetPolicy implements FleetPolicy {
    readonly name = "cheapest";
    private readonly maxRequests: number;
    private readonly releaseMargin: number;

    constructor(options: CheapestFleetPolicyOptions = {}) {
        this.maxRequests = options.maxRequests ?? defaultMaxRequests;
        this.releaseMargin = options.releaseMargin ?? defaultReleaseMargin;
    }

    plan(input: FleetPolicyInput): FleetPlan {
        const staying = input.vms.filter(vm => !vm.isLeaving);
        const requests = this.planRequests(input, staying);
        const capacity = [...staying, ...requests.map(offer => toCapacity(offer, input))];
        const releases = requests.length > 0 ? [] : this.planReleases(input, staying);
        return {
            requests,
            releases,
            survivesDataCentreLoss: countSurvivingSlots(capacity) >= input.neededSlots,
        };
    }

    private planRequests(input: FleetPolicyInput, staying: readonly FleetVm[]): VmOffer[] {
        const offers = input.offers
            .filter(offer => !input.refusedOffers.has(formatOfferKey(offer)))
            .map(offer => ({ offer, price: computeEffectivePrice(offer, input.reclaimsPerHour) }))
            .sort((a, b) => a.price - b.price);
        const requests: VmOffer[] = [];
        let capacity: Capacity[] = [...staying];
        while (requests.length < this.maxRequests && !isEnough(capacity, input)) {
            const before = countSurvivingSlots(capacity);
            const useful = offers.find(({ offer }) =>
                countSurvivingSlots([...capacity, toCapacity(offer, input)]) > before
            ) ?? offers[0];
            if (!useful) {
                break;
            }
            requests.push(useful.offer);
            capacity = [...capacity, toCapacity(useful.offer, input)];
        }
        return requests;
    }

    /** Releases at most one VM: the most expensive one that is not needed. */
    private planReleases(input: FleetPolicyInput, staying: readonly FleetVm[]): string[] {
        if (staying.length <= input.minVms) {
            return [];
        }
        const mostExpensiveFirst = [...staying].sort((a, b) =>
            b.pricePerHour - a.pricePerHour || a.load - b.load
        );
        const spare = mostExpensiveFirst.find(vm =>
            countSurvivingSlots(staying.filter(other => other !== vm))
                >= input.neededSlots * this.releaseMargin
        );
        return spare ? [spare.id] : [];
    }
}

const isEnough = (capacity: readonly Capacity[], input: FleetPolicyInput): boolean =>
    capacity.length >= input.minVms && countSurvivingSlots(capacity) >= input.neededSlots;

const toCapacity = (offer: VmOffer, input: FleetPolicyInput): Capacity => ({
    dataCentre: offer.dataCentre,
    slots: input.slotsPerVm,
});

/** Counts the slots that remain after the loss of the data centre with the most slots. */
const countSurvivingSlots = (capacity: readonly Capacity[]): number => {
    const byDataCentre = new Map<string, number>();
    let total = 0;
    for (const { dataCentre, slots } of capacity) {
        byDataCentre.set(dataCentre, (byDataCentre.get(dataCentre) ?? 0) + slots);
        total += slots;
    }
    return total - Math.max(0, ...byDataCentre.values());
};
