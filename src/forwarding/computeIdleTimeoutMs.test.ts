import { computeIdleTimeoutMs } from "./computeIdleTimeoutMs";

const plenty = 15_000;

describe("computeIdleTimeoutMs", () => {
    it("leaves a quarter of what callers wait for the resumption", () => {
        expect(computeIdleTimeoutMs({ targetLatencyMs: 200, eventGapTargetMs: 0, remainingMs: plenty })).toBe(
            1_500,
        );
        expect(computeIdleTimeoutMs({ targetLatencyMs: 600, eventGapTargetMs: 300, remainingMs: plenty }))
            .toBe(1_800);
        expect(computeIdleTimeoutMs({ targetLatencyMs: 600, eventGapTargetMs: 400, remainingMs: plenty }))
            .toBe(1_900);
    });

    it("is not longer than the silence of a sound upstream and the pause before its next event", () => {
        expect(computeIdleTimeoutMs({ targetLatencyMs: 2_000, eventGapTargetMs: 600, remainingMs: plenty }))
            .toBe(2_100);
        expect(computeIdleTimeoutMs({ targetLatencyMs: 5_000, eventGapTargetMs: 0, remainingMs: plenty }))
            .toBe(1_500);
    });

    it("is shorter near the deadline, but never as short as usual silences", () => {
        expect(computeIdleTimeoutMs({ targetLatencyMs: 400, eventGapTargetMs: 400, remainingMs: 2_400 }))
            .toBe(1_800);
        expect(computeIdleTimeoutMs({ targetLatencyMs: 400, eventGapTargetMs: 400, remainingMs: 500 }))
            .toBe(1_500);
    });
});
