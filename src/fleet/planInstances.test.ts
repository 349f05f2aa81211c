import { type InstancePlanInput, planInstances } from "./planInstances";

const createInput = (fields: Partial<InstancePlanInput>): InstancePlanInput => ({
    scaling: {
        min: 1,
        max: 6,
        bootMs: 4_000,
        reclaimableShare: 0.22,
        prices: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
    },
    dataCentres: ["a", "b", "c", "d"],
    withoutReclaimable: new Set(),
    peakInFlight: 0,
    slots: 100,
    ...fields,
});

const sumAll = (input: InstancePlanInput): number =>
    [...planInstances(input).values()].reduce((sum, counts) => sum + counts.onDemand + counts.reclaimable, 0);

describe("planInstances", () => {
    it("keeps the fewest everywhere without load, on demand in the cheapest data centre only", () => {
        const plan = planInstances(createInput({}));
        expect(plan.get("b")).toEqual({ onDemand: 1, reclaimable: 0 });
        expect(["a", "c", "d"].map(name => plan.get(name)!.reclaimable)).toEqual([1, 1, 1]);
    });

    it("follows the load and leaves enough when the largest data centre is lost", () => {
        for (const peakInFlight of [0, 50, 120, 200, 400, 700]) {
            const plan = planInstances(createInput({ peakInFlight }));
            const counts = [...plan.values()].map(each => each.onDemand + each.reclaimable);
            const left = counts.reduce((sum, count) => sum + count, 0) - Math.max(...counts);
            expect(left).toBeGreaterThanOrEqual(Math.ceil(peakInFlight / 40));
            expect(Math.max(...counts)).toBeLessThanOrEqual(6);
        }
    });

    it("never orders more than allowed", () => {
        expect(sumAll(createInput({ peakInFlight: 100_000 }))).toBe(24);
    });

    it("takes on-demand upstreams where reclaimable ones cannot be had or are no cheaper", () => {
        const dry = planInstances(createInput({ withoutReclaimable: new Set(["a"]) }));
        expect(dry.get("a")).toEqual({ onDemand: 1, reclaimable: 0 });
        const { scaling } = createInput({});
        const none = planInstances(createInput({ scaling: { ...scaling, reclaimableShare: undefined } }));
        expect([...none.values()].every(counts => counts.reclaimable === 0)).toBe(true);
    });
});
