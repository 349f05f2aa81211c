import * as fc from "fast-check";
import { type InstanceCounts, type InstancePlanInput, planInstances } from "./planInstances";

const dataCentres = ["a", "b", "c", "d"];

const createInput = (fields: Partial<InstancePlanInput>): InstancePlanInput => ({
    scaling: {
        min: 1,
        max: 6,
        bootMs: 4_000,
        reclaimablePriceRatio: 0.22,
        prices: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
    },
    dataCentres,
    dataCentresWithoutReclaimable: new Set(),
    needed: 0,
    serving: new Map(),
    booting: new Map(),
    ...fields,
});

const createCounts = (onDemand: number, reclaimable: number): InstanceCounts => ({ onDemand, reclaimable });

const serveEverywhere = (onDemand: number, reclaimable: number): ReadonlyMap<string, InstanceCounts> =>
    new Map(dataCentres.map(name => [name, createCounts(onDemand, reclaimable)]));

const sumBy = (plan: ReadonlyMap<string, InstanceCounts>, market: keyof InstanceCounts): number =>
    [...plan.values()].reduce((total, counts) => total + counts[market], 0);

describe("planInstances", () => {
    it("keeps the fewest reclaimable upstreams everywhere without load", () => {
        const plan = planInstances(createInput({ serving: serveEverywhere(0, 1) }));
        expect([...plan.values()]).toEqual(dataCentres.map(() => createCounts(0, 1)));
    });

    it("keeps on-demand upstreams until the reclaimable ones in their place serve", () => {
        const serving = serveEverywhere(1, 0);
        const ordered = planInstances(
            createInput({ serving, booting: new Map(dataCentres.map(name => [name, 1])) }),
        );
        expect([...ordered.values()]).toEqual(dataCentres.map(() => createCounts(1, 1)));
        const served = planInstances(createInput({ serving: serveEverywhere(1, 1) }));
        expect(sumBy(served, "onDemand")).toBe(0);
    });

    it("leaves enough for the load when any data centre is reclaimed, and never orders more than allowed", () => {
        fc.assert(
            fc.property(fc.integer({ min: 0, max: 30 }), needed => {
                const plan = planInstances(createInput({ needed, serving: serveEverywhere(0, 6) }));
                const counts = [...plan.values()].map(each => each.reclaimable);
                const left = sumBy(plan, "onDemand") + sumBy(plan, "reclaimable") - Math.max(...counts);
                expect(left).toBeGreaterThanOrEqual(Math.min(needed, 18));
                expect(Math.max(...[...plan.values()].map(each => each.onDemand + each.reclaimable)))
                    .toBeLessThanOrEqual(6);
            }),
            { seed: 7 },
        );
    });

    it("replaces reclaimed upstreams by the cheapest on-demand ones while no others can be had", () => {
        const serving = new Map(serveEverywhere(0, 2));
        serving.set("d", createCounts(0, 0));
        const plan = planInstances(
            createInput({ needed: 5, serving, dataCentresWithoutReclaimable: new Set(dataCentres) }),
        );
        expect(["a", "b", "c", "d"].map(name => plan.get(name)!.reclaimable)).toEqual([2, 2, 2, 0]);
        expect(plan.get("d")).toEqual(createCounts(1, 0));
        expect(sumBy(plan, "onDemand")).toBe(3);
        const heavier = planInstances(
            createInput({ needed: 7, serving, dataCentresWithoutReclaimable: new Set(dataCentres) }),
        );
        expect(sumBy(heavier, "onDemand")).toBe(5);
        expect(heavier.get("c")!.onDemand).toBeLessThanOrEqual(1);
    });

    it("prepares for a second reclaim as soon as no more can be had", () => {
        const serving = serveEverywhere(0, 1);
        const calm = planInstances(createInput({ needed: 3, serving }));
        expect(sumBy(calm, "onDemand")).toBe(0);
        const scarce = planInstances(
            createInput({ needed: 3, serving, dataCentresWithoutReclaimable: new Set(["d"]) }),
        );
        expect(sumBy(scarce, "onDemand")).toBe(1);
    });

    it("orders no on-demand upstreams in place of reclaimable ones that boot", () => {
        const plan = planInstances(createInput({
            needed: 8,
            serving: serveEverywhere(0, 1),
            booting: new Map(dataCentres.map(name => [name, 2])),
        }));
        expect(sumBy(plan, "onDemand")).toBe(0);
        expect(sumBy(plan, "reclaimable")).toBe(11);
    });

    it("takes on-demand upstreams alone where reclaimable ones are no cheaper", () => {
        const { scaling } = createInput({});
        const plan = planInstances(
            createInput({ needed: 6, scaling: { ...scaling, reclaimablePriceRatio: undefined } }),
        );
        expect([sumBy(plan, "onDemand"), sumBy(plan, "reclaimable")]).toEqual([6, 0]);
    });
});
