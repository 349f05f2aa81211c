import { dropOldest } from "./dropOldest";

describe("dropOldest", () => {
    it("drops the first entry of a map or set that has more than the maximum", () => {
        const names = new Set(["a", "b", "c"]);
        dropOldest(names, 3);
        expect([...names]).toEqual(["a", "b", "c"]);
        dropOldest(names, 2);
        expect([...names]).toEqual(["b", "c"]);
        const counts = new Map([["a", 1], ["b", 2]]);
        dropOldest(counts, 1);
        expect([...counts]).toEqual([["b", 2]]);
    });
});
