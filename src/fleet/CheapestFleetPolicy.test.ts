import fc from "fast-check";
import type { VmMarket, VmOffer } from "../platform/types";
import { CheapestFleetPolicy } from "./CheapestFleetPolicy";
import { formatOfferKey } from "./formatOfferKey";
import type { FleetPolicyInput, FleetVm } from "./types";

const createOffer = (dataCentre: string, market: VmMarket, pricePerHour: number): VmOffer => ({
    dataCentre,
    machineClass: "gpu-a",
    market,
    pricePerHour,
});

const offers = [
    createOffer("a", "reclaimable", 1),
    createOffer("b", "reclaimable", 1.2),
    createOffer("c", "reclaimable", 1.4),
    createOffer("a", "on-demand", 3),
    createOffer("b", "on-demand", 3.1),
];

const createVm = (id: string, offer: VmOffer): FleetVm => ({
    ...offer,
    id,
    slots: 16,
    load: 0,
    isLeaving: false,
});

const createInput = (changes: Partial<FleetPolicyInput>): FleetPolicyInput => ({
    vms: [],
    offers,
    neededSlots: 16,
    slotsPerVm: 16,
    reclaimsPerHour: new Map(),
    refusedOffers: new Set(),
    minVms: 1,
    ...changes,
});

/** Executes plans until the fleet no longer changes. */
const settle = (input: FleetPolicyInput): { vms: FleetVm[]; rounds: number; } => {
    const policy = new CheapestFleetPolicy();
    let vms = [...input.vms];
    for (let round = 0; round < 100; round += 1) {
        const plan = policy.plan({ ...input, vms });
        if (plan.requests.length === 0 && plan.releases.length === 0) {
            return { vms, rounds: round };
        }
        vms = vms.filter(vm => !plan.releases.includes(vm.id));
        plan.requests.forEach((offer, index) => vms.push(createVm(`${round}-${index}`, offer)));
    }
    return { vms, rounds: Infinity };
};

describe("CheapestFleetPolicy", () => {
    it("spreads the cheapest VMs so that the load is still served after the loss of a data centre", () => {
        const { vms } = settle(createInput({ neededSlots: 32 }));
        const places = vms.map(vm => `${vm.dataCentre}/${vm.market}`).sort();
        expect(places).toEqual(["a/reclaimable", "b/reclaimable", "c/reclaimable"]);
    });

    it("requests the next cheapest offers when the cloud refuses some", () => {
        const refusedOffers = new Set(
            offers.filter(offer => offer.market === "reclaimable").map(formatOfferKey),
        );
        const { vms } = settle(createInput({ refusedOffers }));
        expect(new Set(vms.map(vm => vm.market))).toEqual(new Set(["on-demand"]));
    });

    it("treats a data centre with many reclaims as more expensive", () => {
        const plan = new CheapestFleetPolicy().plan(createInput({ reclaimsPerHour: new Map([["a", 8]]) }));
        expect(plan.requests[0].dataCentre).toBe("b");
    });

    it("converges without oscillating and keeps the needed slots, from any initial fleet", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 200 }),
                fc.array(fc.nat(4), { maxLength: 20 }),
                (neededSlots, start) => {
                    const vms = start.map((offer, index) => createVm(`start-${index}`, offers[offer]));
                    const settled = settle(createInput({ neededSlots, vms }));
                    expect(settled.rounds).toBeLessThan(100);
                    const plan = new CheapestFleetPolicy().plan(
                        createInput({ neededSlots, vms: settled.vms }),
                    );
                    expect(plan.survivesDataCentreLoss).toBe(true);
                },
            ),
            { seed: 13 },
        );
    });
});
