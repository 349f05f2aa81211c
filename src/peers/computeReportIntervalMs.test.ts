import { computeReportIntervalMs } from "./computeReportIntervalMs";

describe("computeReportIntervalMs", () => {
    it("keeps the reports a second constant above 16 links", () => {
        expect([0, 7, 16].map(computeReportIntervalMs)).toEqual([250, 250, 250]);
        const ratePerS = (links: number): number => links * 1_000 / computeReportIntervalMs(links);
        expect(ratePerS(79)).toBeCloseTo(ratePerS(16));
        expect(ratePerS(319)).toBeCloseTo(ratePerS(16));
    });
});
