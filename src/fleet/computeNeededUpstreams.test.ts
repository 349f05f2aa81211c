import { computeNeededUpstreams } from "./computeNeededUpstreams";

describe("computeNeededUpstreams", () => {
    it("is proportional to the load, and never below the initial need", () => {
        const needs = [0, 1, 40, 41, 200].map(peakInFlight =>
            computeNeededUpstreams({ peakInFlight, slots: 100, initialNeed: 0 })
        );
        expect(needs).toEqual([0, 1, 1, 2, 5]);
        expect(computeNeededUpstreams({ peakInFlight: 40, slots: 100, initialNeed: 3 })).toBe(3);
    });
});
