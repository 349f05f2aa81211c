import { selectDialTargets } from "./selectDialTargets";

const createIds = (count: number): string[] => Array.from({ length: count }, (_, index) => `entry-${index}`);

describe("selectDialTargets", () => {
    it("links every pair once in a small cluster", () => {
        const ids = createIds(8);
        const pairs = ids.flatMap(nodeId =>
            selectDialTargets({ nodeId, memberIds: ids }).map(to => [nodeId, to].sort().join())
        );
        expect(new Set(pairs).size).toBe(28);
        expect(pairs.length).toBe(28);
    });

    it.each([17, 64, 320])("keeps degree logarithmic and the graph connected at %i members", count => {
        const ids = createIds(count);
        const neighbours = new Map(ids.map(id => [id, new Set<string>()]));
        for (const nodeId of ids) {
            for (const target of selectDialTargets({ nodeId, memberIds: ids })) {
                neighbours.get(nodeId)!.add(target);
                neighbours.get(target)!.add(nodeId);
            }
        }
        const largestDegree = Math.max(...[...neighbours.values()].map(set => set.size));
        expect(largestDegree).toBeLessThanOrEqual(2 * Math.ceil(Math.log2(count)));
        let reached = new Set([ids[0]]);
        let hops = 0;
        while (reached.size < count && hops < count) {
            reached = new Set([...reached].flatMap(id => [id, ...neighbours.get(id)!]));
            hops += 1;
        }
        expect(hops).toBeLessThanOrEqual(Math.ceil(Math.log2(count)));
    });
});
