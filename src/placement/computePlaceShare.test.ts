import * as fc from "fast-check";
import { computePlaceShare } from "./computePlaceShare";

describe("computePlaceShare", () => {
    it("deals all places of each upstream, and no node gets two more than another in sum", () => {
        const slots = fc.array(fc.integer({ min: 0, max: 40 }), { minLength: 1, maxLength: 8 });
        fc.assert(fc.property(slots, fc.integer({ min: 1, max: 12 }), (placesOfEach, nodes) => {
            const sums = Array.from({ length: nodes }, () => 0);
            let offset = 0;
            for (const places of placesOfEach) {
                const shares = sums.map((_sum, rank) => computePlaceShare({ places, offset, rank, nodes }));
                expect(shares.reduce((sum, share) => sum + share, 0)).toBe(places);
                shares.forEach((share, rank) => {
                    sums[rank] += share;
                });
                offset += places;
            }
            expect(Math.max(...sums) - Math.min(...sums)).toBeLessThanOrEqual(1);
        }));
    });
});
