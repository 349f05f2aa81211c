import { listSharedPartIds } from "./listSharedPartIds";

const createParts = (...ids: string[]) => ids.map(id => ({ id, tokens: 1 }));

describe("listSharedPartIds", () => {
    it("leaves the last part out, and names each of the others once", () => {
        expect(listSharedPartIds(createParts("a", "b", "a", "own"))).toEqual(["a", "b"]);
    });

    it("is empty where there is no part, or only the last one", () => {
        expect(listSharedPartIds([])).toEqual([]);
        expect(listSharedPartIds(createParts("own"))).toEqual([]);
    });
});
