import { performance } from "node:perf_hooks";
import { SystemClock } from "./SystemClock";

describe("SystemClock", () => {
    afterEach(() => jest.restoreAllMocks());

    it("shows a suspension of the VM by its wall clock, while its monotonic clock stands still", () => {
        const clock = new SystemClock();
        const monotonicMs = performance.now();
        const wallMs = Date.now();
        jest.spyOn(performance, "now").mockReturnValue(monotonicMs);
        jest.spyOn(Date, "now").mockReturnValue(wallMs);
        const before = { wallMs: clock.readWallMs(), monotonicMs: clock.readMonotonicMs() };
        jest.spyOn(Date, "now").mockReturnValue(wallMs + 20_000);
        expect(clock.readMonotonicMs() - before.monotonicMs).toBe(0);
        expect(clock.readWallMs() - before.wallMs).toBe(20_000);
    });
});
