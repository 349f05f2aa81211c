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

const createUniformCounts = (onDemand: number, reclaimable: number): ReadonlyMap<string, InstanceCounts> =>
    new Map(dataCentres.map(name => [name, createCounts(onDemand, reclaimable)]));

const sumBy = (plan: ReadonlyMap<string, InstanceCounts>, market: keyof InstanceCounts): number =>
    [...plan.values()].reduce((total, counts) => total + counts[market], 0);

describe("planInstances", () => {
    it("keeps the minimum of reclaimable upstreams in each data centre without load", () => {
        const plan = planInstances(createInput({ serving: createUniformCounts(0, 1) }));
        expect([...plan.values()]).toEqual(dataCentres.map(() => createCounts(0, 1)));
    });

    it("keeps on-demand upstreams until their reclaimable replacements serve", () => {
        const serving = createUniformCounts(1, 0);
        const ordered = planInstances(
            createInput({ serving, booting: new Map(dataCentres.map(name => [name, 1])) }),
        );
        expect([...ordered.values()]).toEqual(dataCentres.map(() => createCounts(1, 1)));
        const served = planInstances(createInput({ serving: createUniformCounts(1, 1) }));
        expect(sumBy(served, "onDemand")).toBe(0);
    });

    it("keeps enough upstreams for the load when any data centre is reclaimed, and never exceeds the maximum", () => {
        fc.assert(
            fc.property(fc.integer({ min: 0, max: 30 }), needed => {
                const plan = planInstances(createInput({ needed, serving: createUniformCounts(0, 6) }));
                const counts = [...plan.values()].map(each => each.reclaimable);
                const left = sumBy(plan, "onDemand") + sumBy(plan, "reclaimable") - Math.max(...counts);
                expect(left).toBeGreaterThanOrEqual(Math.min(needed, 18));
                expect(Math.max(...[...plan.values()].map(each => each.onDemand + each.reclaimable)))
                    .toBeLessThanOrEqual(6);
            }),
            { seed: 7 },
        );
    });

    it("replaces reclaimed upstreams by the cheapest on-demand ones while no reclaimable ones are available", () => {
        const serving = new Map(createUniformCounts(0, 2));
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

    it("prepares for a second reclaim while reclaimable upstreams are unavailable in a data centre", () => {
        const serving = createUniformCounts(0, 1);
        const calm = planInstances(createInput({ needed: 3, serving }));
        expect(sumBy(calm, "onDemand")).toBe(0);
        const scarce = planInstances(
            createInput({ needed: 3, serving, dataCentresWithoutReclaimable: new Set(["d"]) }),
        );
        expect(sumBy(scarce, "onDemand")).toBe(1);
    });

    it("orders no on-demand upstreams in place of booting reclaimable ones", () => {
        const plan = planInstances(createInput({
            needed: 8,
            serving: createUniformCounts(0, 1),
            booting: new Map(dataCentres.map(name => [name, 2])),
        }));
        expect(sumBy(plan, "onDemand")).toBe(0);
        expect(sumBy(plan, "reclaimable")).toBe(11);
    });

    it("orders only on-demand upstreams where reclaimable ones are not cheaper", () => {
        const { scaling } = createInput({});
        const plan = planInstances(
            createInput({ needed: 6, scaling: { ...scaling, reclaimablePriceRatio: undefined } }),
        );
        expect([sumBy(plan, "onDemand"), sumBy(plan, "reclaimable")]).toEqual([6, 0]);
    });
});
