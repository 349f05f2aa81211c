import { describeSharedParts } from "./describeSharedParts";

describe("describeSharedParts", () => {
    it("lists the first ids, shortened, and nothing for a prompt without shared parts", () => {
        expect(describeSharedParts([])).toBeUndefined();
        expect(describeSharedParts(["a", "b"])).toBe("a,b");
        const described = describeSharedParts(Array.from({ length: 20 }, () => "x".repeat(100)))!;
        expect(described).toHaveLength(8 * 33 - 1);
    });
});
