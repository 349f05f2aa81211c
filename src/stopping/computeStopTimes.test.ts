import { computeStopTimes } from "./computeStopTimes";

describe("computeStopTimes", () => {
    it("leaves time for a late signal, for the last answers and for closing", () => {
        const stop = computeStopTimes({ requestedMs: 1_000, handledMs: 1_100, graceMs: 8_000 });
        expect(stop).toEqual({ acceptEndMs: 3_500, answerEndMs: 8_000, closeMs: 8_600 });
    });

    it("accepts every request for no longer in long grace periods", () => {
        const stop = computeStopTimes({ requestedMs: 0, handledMs: 0, graceMs: 60_000 });
        expect(stop).toEqual({ acceptEndMs: 2_500, answerEndMs: 59_000, closeMs: 59_600 });
    });

    // Guards against streams that are cut before the last sixth, by a node that was held up before it was told to stop.
    it("closes no connection before the last sixth of a grace period that may have begun late or not", () => {
        const stop = computeStopTimes({ requestedMs: 0, handledMs: 2_000, graceMs: 8_000 });
        expect(stop).toEqual({ acceptEndMs: 2_500, answerEndMs: 7_000, closeMs: 9_000 });
    });

    it.each([100, 1_000, 3_000, 8_000, 60_000])(
        "orders the times of a grace period of %d ms, and answers within its last sixth",
        graceMs => {
            const { acceptEndMs, answerEndMs, closeMs } = computeStopTimes({
                requestedMs: 0,
                handledMs: 0,
                graceMs,
            });
            expect(acceptEndMs).toBeGreaterThan(0);
            expect(answerEndMs).toBeGreaterThan(acceptEndMs);
            expect(answerEndMs).toBeGreaterThanOrEqual(graceMs * 5 / 6);
            expect(closeMs).toBeGreaterThan(answerEndMs);
            expect(closeMs).toBeLessThan(graceMs);
        },
    );
});
