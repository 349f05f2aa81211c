import { listDeclarationDifferences } from "./listDeclarationDifferences";

describe("listDeclarationDifferences", () => {
    it("lists changed, added and removed fields by path, whatever the order of the items", () => {
        const before = { classes: [{ name: "a", latency: { wholeMs: 1 } }, { name: "b", cost: 2 }] };
        const after = { classes: [{ name: "c", cost: 3 }, { name: "a", latency: { wholeMs: 5 } }] };
        expect(listDeclarationDifferences(before, after)).toEqual([
            { path: "classes[a].latency.wholeMs", before: 1, after: 5 },
            { path: "classes[b].cost", before: 2, after: undefined },
            { path: "classes[b].name", before: "b", after: undefined },
            { path: "classes[c].cost", before: undefined, after: 3 },
            { path: "classes[c].name", before: undefined, after: "c" },
        ]);
    });
});
