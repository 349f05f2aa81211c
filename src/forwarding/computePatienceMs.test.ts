import { computePatienceMs } from "./computePatienceMs";

describe("computePatienceMs", () => {
    it("waits to the end for what may not be repeated, or not any more", () => {
        expect(computePatienceMs({ repeat: "once", targetMs: 100, mayRunAgain: true })).toBeUndefined();
        expect(computePatienceMs({ repeat: "repeatable", targetMs: 100, mayRunAgain: false }))
            .toBeUndefined();
    });

    it("follows the target, with a least time", () => {
        expect(computePatienceMs({ repeat: "repeatable", targetMs: 50, mayRunAgain: true })).toBe(300);
        expect(computePatienceMs({ repeat: "repeatable", targetMs: 200, mayRunAgain: true })).toBe(600);
        expect(computePatienceMs({ repeat: "resumable", targetMs: 600, mayRunAgain: true })).toBe(1_200);
    });
});
