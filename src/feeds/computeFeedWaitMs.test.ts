import { computeFeedWaitMs } from "./computeFeedWaitMs";

describe("computeFeedWaitMs", () => {
    it("leaves time for a lost answer and for the effect within the bound", () => {
        for (const maxPropagationMs of [2_000, 3_000, 5_000]) {
            const waitMs = computeFeedWaitMs({ maxPropagationMs, answerTimeoutMs: 700, applyMs: 400 });
            expect(waitMs + 700 + 400).toBeLessThan(maxPropagationMs);
        }
    });

    it("never waits for nothing or for very long", () => {
        expect(computeFeedWaitMs({ maxPropagationMs: 500, answerTimeoutMs: 700, applyMs: 400 })).toBe(200);
        expect(computeFeedWaitMs({ maxPropagationMs: 60_000, answerTimeoutMs: 700, applyMs: 400 })).toBe(
            5_000,
        );
    });
});
