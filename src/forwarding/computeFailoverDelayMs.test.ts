import { computeFailoverDelayMs } from "./computeFailoverDelayMs";

describe("computePatienceMs", () => {
    it("waits to the end for what may not be repeated, or not any more", () => {
        expect(computeFailoverDelayMs({ retryRule: "once", targetLatencyMs: 100, mayRunAgain: true }))
            .toBeUndefined();
        expect(computeFailoverDelayMs({ retryRule: "repeatable", targetLatencyMs: 100, mayRunAgain: false }))
            .toBeUndefined();
    });

    it("follows the target, with a least time", () => {
        expect(computeFailoverDelayMs({ retryRule: "repeatable", targetLatencyMs: 50, mayRunAgain: true }))
            .toBe(300);
        expect(computeFailoverDelayMs({ retryRule: "repeatable", targetLatencyMs: 200, mayRunAgain: true }))
            .toBe(600);
        expect(computeFailoverDelayMs({ retryRule: "resumable", targetLatencyMs: 600, mayRunAgain: true }))
            .toBe(1_200);
    });
});
