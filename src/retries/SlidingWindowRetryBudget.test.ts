import fc from "fast-check";
import { FakeClock } from "../kernel/FakeClock";
import { SlidingWindowRetryBudget } from "./SlidingWindowRetryBudget";

const createWindow = (clock: FakeClock, nodes: number): SlidingWindowRetryBudget =>
    new SlidingWindowRetryBudget({ clock, windowMs: 10_000, ratio: 0.2, extra: 40, countNodes: () => nodes });

describe("RetryWindow", () => {
    it("allows a share of the requests and this node's part of the extra", () => {
        const window = createWindow(new FakeClock(), 8);
        Array.from({ length: 100 }).forEach(() => window.countRequest());
        let taken = 0;
        while (window.takeRetry()) {
            taken += 1;
        }
        expect(taken).toBe(20);
    });

    it("allows repeats again when the window has passed", async () => {
        const clock = new FakeClock();
        const window = createWindow(clock, 8);
        while (window.takeRetry()) {
            // until none is left
        }
        await clock.advance(10_500);
        expect(window.takeRetry()).toBe(true);
    });

    it("keeps all nodes together within the bound in every span of the window's length", async () => {
        await fc.assert(
            fc.asyncProperty(
                fc.array(fc.integer({ min: 0, max: 30 }), { minLength: 30, maxLength: 60 }),
                async loads => {
                    const clock = new FakeClock();
                    const windows = Array.from({ length: 4 }, () => createWindow(clock, 4));
                    const steps: { requests: number; repeats: number; }[] = [];
                    for (const load of loads) {
                        let repeats = 0;
                        for (const window of windows) {
                            Array.from({ length: load }).forEach(() => window.countRequest());
                            Array.from({ length: load }).forEach(() => {
                                repeats += window.takeRetry() ? 1 : 0;
                            });
                        }
                        steps.push({ requests: load * 4, repeats });
                        await clock.advance(500);
                    }
                    for (let end = 20; end <= steps.length; end += 1) {
                        const sum = (from: number, to: number, field: "requests" | "repeats") =>
                            steps.slice(Math.max(0, from), to).reduce(
                                (total, step) => total + step[field],
                                0,
                            );
                        const most = Math.max(
                            ...[0, 10, 20].map(back => sum(end - 20 - back, end - back, "requests")),
                        );
                        expect(sum(end - 20, end, "repeats")).toBeLessThanOrEqual(0.2 * most + 40);
                    }
                },
            ),
            { numRuns: 10, seed: 7 },
        );
    });
});
