import type { FencedCall } from "./FencedCloudStandIn";
import { listAmbiguousReports } from "./listAmbiguousReports";

const createReport = (windowId: number, counts: Record<string, number>): FencedCall => ({
    atMs: windowId,
    path: "/usage",
    holder: "node-1",
    fencing: 1,
    body: { windowId, counts },
});

describe("listAmbiguousReports", () => {
    it("finds a window with two counts, and none for an exact repeat", () => {
        const calls = [
            createReport(1, { a: 1, b: 2 }),
            createReport(2, { a: 1 }),
            createReport(1, { b: 2, a: 1 }),
            createReport(2, { a: 2 }),
        ];
        expect(listAmbiguousReports(calls)).toEqual([expect.stringContaining("window 2: ")]);
    });
});
