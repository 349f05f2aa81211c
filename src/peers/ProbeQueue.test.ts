import { ProbeQueue } from "./ProbeQueue";

const takeAll = (queue: ProbeQueue, nowMs: number, maxIntervalMs?: number): string[] => {
    const taken: string[] = [];
    for (let nodeId = queue.takeDue({ nowMs, maxIntervalMs }); nodeId !== undefined;) {
        taken.push(nodeId);
        nodeId = queue.takeDue({ nowMs, maxIntervalMs });
    }
    return taken;
};

describe("ProbeQueue", () => {
    it("takes each node once, in the order in which they were added", () => {
        const queue = new ProbeQueue({ maxIntervalMs: 2_000 });
        ["c", "a", "b", "a"].forEach(nodeId => queue.add(nodeId));
        expect(takeAll(queue, 0)).toEqual(["c", "a", "b"]);
        expect(queue.size).toBe(3);
    });

    it("doubles the time between attempts up to its limit, and begins again once a node was reached", () => {
        const queue = new ProbeQueue({ maxIntervalMs: 2_000 });
        queue.add("a");
        const attempts: number[] = [];
        for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) {
            if (queue.takeDue({ nowMs }) === "a") {
                attempts.push(nowMs);
                queue.putBack("a", { wasReached: nowMs === 7_500, nowMs });
            }
        }
        expect(attempts).toEqual([0, 500, 1_500, 3_500, 5_500, 7_500, 8_000, 9_000]);
    });

    it("applies a limit of the back-off that is given for one call", () => {
        const queue = new ProbeQueue({ maxIntervalMs: 8_000 });
        queue.add("a");
        for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
            expect(queue.takeDue({ nowMs, maxIntervalMs: 500 })).toBe("a");
            queue.putBack("a", { wasReached: false, nowMs });
        }
        expect(queue.takeDue({ nowMs: 20_000 })).toBeUndefined();
        expect(queue.takeDue({ nowMs: 20_000, maxIntervalMs: 500 })).toBe("a");
    });

    it("takes turns between nodes that were never tried and those that have been due for longest", () => {
        const queue = new ProbeQueue({ maxIntervalMs: 2_000 });
        const old = ["old-1", "old-2", "old-3"];
        old.forEach(nodeId => queue.add(nodeId));
        takeAll(queue, 0).forEach(nodeId => queue.putBack(nodeId, { wasReached: false, nowMs: 0 }));
        ["new-1", "new-2", "new-3"].forEach(nodeId => queue.add(nodeId, 600));
        const taken = takeAll(queue, 1_000);
        expect(taken.filter(nodeId => old.includes(nodeId))).toEqual(old);
        [0, 2, 4].forEach(place =>
            expect(taken.slice(place, place + 2).filter(nodeId => old.includes(nodeId))).toHaveLength(1)
        );
    });

    it("takes renewed nodes first in every other call, also those that have failed or are taken", () => {
        const queue = new ProbeQueue({ maxIntervalMs: 2_000 });
        ["a", "b", "c", "d"].forEach(nodeId => queue.add(nodeId));
        expect([queue.takeDue({ nowMs: 0 }), queue.takeDue({ nowMs: 0 })]).toEqual(["a", "b"]);
        queue.putBack("a", { wasReached: false, nowMs: 0 });
        ["a", "b", "e"].forEach(nodeId => queue.renew(nodeId));
        queue.putBack("b", { wasReached: false, nowMs: 0 });
        expect(queue.size).toBe(5);
        expect(takeAll(queue, 100)).toEqual(["a", "c", "b", "d", "e"]);
        expect(queue.size).toBe(5);
    });

    it("does not put back a node that was removed meanwhile", () => {
        const queue = new ProbeQueue({ maxIntervalMs: 2_000 });
        ["a", "b", "c"].forEach(nodeId => queue.add(nodeId));
        expect(queue.takeDue({ nowMs: 0 })).toBe("a");
        queue.filter(nodeId => nodeId === "c");
        queue.putBack("a", { wasReached: false, nowMs: 0 });
        expect(takeAll(queue, 10_000)).toEqual(["c"]);
        expect(queue.size).toBe(1);
    });
});
