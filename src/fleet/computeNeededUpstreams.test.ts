import { computeNeededUpstreams } from "./computeNeededUpstreams";

describe("computeNeededUpstreams", () => {
    it("is proportional to the load, and never below the initial need", () => {
        const needs = [0, 1, 40, 41, 200].map(peakInFlight =>
            computeNeededUpstreams({ peakInFlight, slots: 100, limitedUpstreams: 0, initialNeed: 0 })
        );
        expect(needs).toEqual([0, 1, 1, 2, 5]);
        const atStart = { peakInFlight: 40, slots: 100, limitedUpstreams: 0, initialNeed: 3 };
        expect(computeNeededUpstreams(atStart)).toBe(3);
    });

    it("counts no upstream that states a limit", () => {
        const input = { peakInFlight: 41, slots: 100, limitedUpstreams: 2, initialNeed: 0 };
        expect(computeNeededUpstreams(input)).toBe(4);
    });
});
