import { selectKeepers } from "./selectKeepers";

const nodeIds = ["a-1", "a-2", "b-1", "b-2", "c-1"];
const dataCentres = new Map(nodeIds.map(nodeId => [nodeId, nodeId[0]]));
const others = nodeIds.slice(1);

const select = (fields: Partial<Parameters<typeof selectKeepers>[0]> = {}): string[] =>
    selectKeepers({
        nodeId: "a-1",
        plan: { isAggregator: true, aggregators: new Set(others) },
        linked: others,
        dataCentres,
        count: 2,
        ...fields,
    });

describe("selectKeepers", () => {
    it("selects for an aggregator others to which a link is up, the first one in another data centre", () => {
        const [first, second, ...rest] = select();
        expect(first[0]).not.toBe("a");
        expect(others).toContain(second);
        expect(second).not.toBe(first);
        expect(rest).toEqual([]);
        expect(select({ linked: others.filter(other => other !== first) })).not.toContain(first);
    });

    it("selects what is left when no other data centre can be reached", () => {
        expect(select({ linked: ["a-2"] })).toEqual(["a-2"]);
        expect(select({ linked: [] })).toEqual([]);
    });

    it("selects the linked aggregators for a leaf", () => {
        const plan = { isAggregator: false, aggregators: new Set(["a-2", "b-1"]) };
        expect(select({ plan, linked: ["a-2"] })).toEqual(["a-2"]);
    });
});
