import { rankReaders } from "./rankReaders";

const createMembers = (centres: readonly string[]): { nodeId: string; dataCentre: string; }[] =>
    centres.map((dataCentre, index) => ({ nodeId: `n${index}`, dataCentre }));

describe("rankReaders", () => {
    it("ranks every member once, the first two in different data centres", () => {
        const members = createMembers(["a", "a", "a", "a", "b", "a", "a"]);
        for (const feed of ["x", "y", "z", "w"]) {
            const ranked = rankReaders({ feed, members });
            expect([...ranked].sort()).toEqual(members.map(member => member.nodeId));
            expect(ranked.slice(0, 2)).toContain("n4");
        }
    });

    it("ranks members of one data centre, and none at all", () => {
        expect(rankReaders({ feed: "x", members: createMembers(["a", "a"]) })).toHaveLength(2);
        expect(rankReaders({ feed: "x", members: [] })).toEqual([]);
    });

    it("keeps the order of the others when a member is lost", () => {
        const members = createMembers(["a", "b", "c", "d"]);
        const ranked = rankReaders({ feed: "x", members });
        const remaining = members.filter(member => member.nodeId !== ranked[0]);
        expect(rankReaders({ feed: "x", members: remaining })).toEqual(ranked.slice(1));
    });
});
