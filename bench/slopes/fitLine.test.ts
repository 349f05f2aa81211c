import { fitLine } from "./fitLine";

describe("fitLine", () => {
    it("finds the line through collinear points", () => {
        const line = fitLine("bytes", "node", [1, 2, 5].map(size => ({ size, value: 3 + 2 * size })));
        expect(line.slope).toBeCloseTo(2);
        expect(line.intercept).toBeCloseTo(3);
        expect(line.fit).toBeCloseTo(1);
        expect(line.spread).toBeCloseTo(0);
    });

    it("reports a low fit and a large spread for points far from a line", () => {
        const line = fitLine("bytes", "node", [0, 10, 0, 10].map((value, size) => ({ size, value })));
        expect(line.fit).toBeLessThan(0.5);
        expect(line.spread).toBeGreaterThan(0.2);
    });
});
