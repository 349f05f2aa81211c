import { computeFeedWaitMs } from "./computeFeedWaitMs";

describe("computeFeedWaitMs", () => {
    it("leaves time for a lost answer and for applying the change within the limit", () => {
        for (const maxPropagationMs of [2_000, 3_000, 5_000]) {
            const waitMs = computeFeedWaitMs({ maxPropagationMs, answerTimeoutMs: 700, applyMs: 400 });
            expect(waitMs + 700 + 400).toBeLessThan(maxPropagationMs);
        }
    });

    it("keeps the wait between its minimum and its maximum", () => {
        expect(computeFeedWaitMs({ maxPropagationMs: 500, answerTimeoutMs: 700, applyMs: 400 })).toBe(200);
        expect(computeFeedWaitMs({ maxPropagationMs: 60_000, answerTimeoutMs: 700, applyMs: 400 })).toBe(
            5_000,
        );
    });
});
