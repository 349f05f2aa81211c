import { planLinks } from "./planLinks";

const createNodes = (centres: number, count: number): { nodeId: string; dataCentre: string; }[] =>
    Array.from(
        { length: count },
        (_, index) => ({ nodeId: `n${index}`, dataCentre: `dc-${index % centres}` }),
    );

const countLinks = (nodes: readonly { nodeId: string; dataCentre: string; }[]): Map<string, Set<string>> => {
    const links = new Map(nodes.map(({ nodeId }) => [nodeId, new Set<string>()]));
    for (const self of nodes) {
        const { dialTargets } = planLinks({ self, others: nodes.filter(node => node !== self) });
        for (const target of dialTargets) {
            links.get(self.nodeId)!.add(target);
            links.get(target)!.add(self.nodeId);
        }
    }
    return links;
};

const countReached = (links: ReadonlyMap<string, ReadonlySet<string>>, lost: ReadonlySet<string>): number => {
    const start = [...links.keys()].find(nodeId => !lost.has(nodeId))!;
    const reached = new Set([start]);
    for (const nodeId of reached) {
        links.get(nodeId)!.forEach(other => lost.has(other) || reached.add(other));
    }
    return reached.size;
};

describe("planLinks", () => {
    it("links every pair while each data centre has at most two nodes", () => {
        countLinks(createNodes(4, 8)).forEach(linked => expect(linked.size).toBe(7));
    });

    it("gives leaves two links, and aggregators those of their data centre and of the other aggregators", () => {
        for (const [centres, count] of [[3, 62], [6, 195], [5, 320]]) {
            const sizes = [...countLinks(createNodes(centres, count)).values()].map(linked => linked.size);
            expect(sizes.filter(size => size > 2)).toHaveLength(2 * centres);
            expect(Math.max(...sizes)).toBeLessThanOrEqual(
                Math.ceil(count / centres) - 1 + 2 * (centres - 1),
            );
        }
    });

    it("keeps all nodes connected when one aggregator is lost, whichever it is", () => {
        const nodes = createNodes(4, 40);
        const links = countLinks(nodes);
        for (const { nodeId } of nodes) {
            expect(countReached(links, new Set([nodeId]))).toBe(39);
        }
    });

    it("treats nodes of an unknown data centre as one more data centre", () => {
        const links = planLinks({
            self: { nodeId: "a", dataCentre: "x" },
            others: [{ nodeId: "b" }, { nodeId: "c" }, { nodeId: "d" }],
        });
        expect(links.isAggregator).toBe(true);
        expect(links.dialTargets).toHaveLength(2);
    });

    it("makes a single node an aggregator without links", () => {
        const plan = planLinks({ self: { nodeId: "a", dataCentre: "x" }, others: [] });
        expect(plan).toMatchObject({ isAggregator: true, dialTargets: [] });
    });
});
