import { GrowingAllowance } from "./GrowingAllowance";

describe("GrowingAllowance", () => {
    it("lets an initial amount be taken at once, and more as time passes", () => {
        let nowMs = 5_000;
        const allowance = new GrowingAllowance({
            initial: 10,
            perS: 2,
            clock: { readMonotonicMs: () => nowMs },
        });
        expect(allowance.take(10)).toBe(true);
        expect(allowance.take(1)).toBe(false);
        nowMs += 500;
        expect(allowance.take(0)).toBe(true);
        expect(allowance.take(1)).toBe(false);
    });

    it("adds negative amounts to what may be taken", () => {
        const allowance = new GrowingAllowance({ initial: 1, perS: 0 });
        expect(allowance.take(-5)).toBe(true);
        expect(allowance.take(6)).toBe(true);
        expect(allowance.take(1)).toBe(false);
    });
});
