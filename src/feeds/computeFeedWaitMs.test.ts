import { computeFeedWaitMs } from "./computeFeedWaitMs";

describe("computeFeedWaitMs", () => {
    it("leaves time for a lost answer and for the effect within the bound", () => {
        for (const boundMs of [2_000, 3_000, 5_000]) {
            const waitMs = computeFeedWaitMs({ boundMs, answerMs: 700, effectMs: 400 });
            expect(waitMs + 700 + 400).toBeLessThan(boundMs);
        }
    });

    it("never waits for nothing or for very long", () => {
        expect(computeFeedWaitMs({ boundMs: 500, answerMs: 700, effectMs: 400 })).toBe(200);
        expect(computeFeedWaitMs({ boundMs: 60_000, answerMs: 700, effectMs: 400 })).toBe(5_000);
    });
});
