import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import type { LocalCluster } from "../../standins/LocalCluster";
import { readError, TestCaller } from "../../standins/TestCaller";

const breaksOffAt = "break the engine";
const maxBrokenOff = 3;
const caller = new TestCaller(testKeys.large);

describe("a chat request under which engines break off as soon as its answer begins", () => {
    let cluster: LocalCluster;

    beforeAll(async () => {
        cluster = createTestCluster({ engineCount: 6, engine: { breaksOffAt } });
        await cluster.start();
    });

    afterAll(() => cluster.stop());

    const countBrokenOff = (): number =>
        cluster.standIns.runners.reduce((sum, runner) => sum + (runner.engine?.brokenOff ?? 0), 0);

    it.each(["drafting", "batch"])(
        "fails after three of them, and others are served: %s",
        async workClass => {
            const before = countBrokenOff();
            const answer = await caller.complete(cluster.nodes[0], breaksOffAt, {}, {
                "work-class": workClass,
            });
            expect(answer.status).toBe(502);
            expect(readError(answer).name).toBe("upstream-failed");
            expect(countBrokenOff() - before).toBe(maxBrokenOff);
            const other = await caller.complete(cluster.nodes[0], "another prompt");
            expect(other.status).toBe(200);
        },
    );
});
