import { computeFailoverDelayMs } from "./computeFailoverDelayMs";

describe("computeFailoverDelayMs", () => {
    it("disables failover for requests that may run only once or may not run again", () => {
        expect(computeFailoverDelayMs({ retryRule: "once", targetLatencyMs: 100, mayRunAgain: true }))
            .toBeUndefined();
        expect(computeFailoverDelayMs({ retryRule: "repeatable", targetLatencyMs: 100, mayRunAgain: false }))
            .toBeUndefined();
    });

    it("is a multiple of the target latency with a lower limit", () => {
        expect(computeFailoverDelayMs({ retryRule: "repeatable", targetLatencyMs: 50, mayRunAgain: true }))
            .toBe(300);
        expect(computeFailoverDelayMs({ retryRule: "repeatable", targetLatencyMs: 200, mayRunAgain: true }))
            .toBe(600);
        expect(computeFailoverDelayMs({ retryRule: "resumable", targetLatencyMs: 600, mayRunAgain: true }))
            .toBe(1_200);
    });
});
