import * as fc from "fast-check";
import { SlidingWindowSum } from "./SlidingWindowSum";

describe("SlidingWindowSum", () => {
    it("sums the amounts of the last window and of at most one more slot", () => {
        const additions = fc.array(fc.record({ gapMs: fc.nat(900), amount: fc.nat(10) }), { maxLength: 60 });
        fc.assert(
            fc.property(additions, steps => {
                const sum = new SlidingWindowSum({ windowMs: 1_000, slots: 10 });
                const added: { atMs: number; amount: number; }[] = [];
                let nowMs = 0;
                for (const { gapMs, amount } of steps) {
                    nowMs += gapMs;
                    sum.add(nowMs, amount);
                    added.push({ atMs: nowMs, amount });
                    const countSince = (fromMs: number): number =>
                        added.filter(({ atMs }) => atMs > fromMs).reduce(
                            (total, each) => total + each.amount,
                            0,
                        );
                    const read = sum.read(nowMs);
                    expect(read).toBeGreaterThanOrEqual(countSince(nowMs - 1_000));
                    expect(read).toBeLessThanOrEqual(countSince(nowMs - 1_101));
                }
            }),
            { seed: 3 },
        );
    });

    it("sums the amounts added after a given time", () => {
        const sum = new SlidingWindowSum({ windowMs: 1_000, slots: 10 });
        [100, 300, 500].forEach(atMs => sum.add(atMs, 1));
        expect([0, 100, 299, 500].map(sinceMs => sum.readSince(sinceMs))).toEqual([3, 2, 2, 0]);
    });

    it("takes an amount back for as long as it counts, and not longer", () => {
        const sum = new SlidingWindowSum({ windowMs: 1_000, slots: 10 });
        [0, 50, 400, 800].forEach(atMs => sum.add(atMs, 1));
        sum.remove(50, 1);
        expect(sum.read(900)).toBe(3);
        expect(sum.read(1_101)).toBe(2);
        sum.remove(50, 1);
        expect(sum.read(1_101)).toBe(2);
        sum.remove(800, 1);
        expect(sum.read(1_101)).toBe(1);
    });

    it("subtracts negative amounts", () => {
        const sum = new SlidingWindowSum({ windowMs: 1_000 });
        sum.add(0, 5);
        sum.add(40, -5);
        expect(sum.read(50)).toBe(0);
    });
});
