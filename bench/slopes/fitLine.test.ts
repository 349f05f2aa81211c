import { fitLine } from "./fitLine";

describe("fitLine", () => {
    it("finds the line through points that lie on one", () => {
        const slope = fitLine("bytes", "node", [1, 2, 5].map(size => ({ size, value: 3 + 2 * size })));
        expect(slope.slope).toBeCloseTo(2);
        expect(slope.intercept).toBeCloseTo(3);
        expect(slope.fit).toBeCloseTo(1);
        expect(slope.spread).toBeCloseTo(0);
    });

    it("tells by fit and spread when points do not", () => {
        const slope = fitLine("bytes", "node", [0, 10, 0, 10].map((value, size) => ({ size, value })));
        expect(slope.fit).toBeLessThan(0.5);
        expect(slope.spread).toBeGreaterThan(0.2);
    });
});
