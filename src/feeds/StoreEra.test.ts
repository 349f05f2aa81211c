import { StoreEra } from "./StoreEra";

describe("StoreEra", () => {
    it("rises with the store's answers, and rejects answers of an earlier era", () => {
        const era = new StoreEra();
        const seen: (number | undefined)[] = [];
        era.current.onChange(next => seen.push(next));
        expect([era.observe(3), era.observe(3), era.observe(4), era.observe(3), era.observe(undefined)])
            .toEqual([true, true, true, false, true]);
        expect(seen).toEqual([3, 4]);
    });
});
