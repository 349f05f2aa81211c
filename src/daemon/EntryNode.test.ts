import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import type { LocalCluster } from "../../standins/LocalCluster";
import { TestCaller } from "../../standins/TestCaller";
import { eventLogName } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";

describe("EntryNode", () => {
    let cluster: LocalCluster;

    beforeEach(async () => {
        cluster = createTestCluster({ nodeCount: 2 });
        await cluster.start();
    });

    afterEach(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    it("joins without a failed task while the tables are down and the cloud is slow, and gets the configuration from members", async () => {
        cluster.standIns.tables.server.setFault({ kind: "outage" });
        cluster.standIns.cloud.server.setFault({ kind: "delay", ms: 300 });
        const node = await cluster.startNode({ nodeId: "an-entry", dataCentre: "dc-c" });
        await cluster.waitUntil(async () => {
            const answer = await fetch(`${node.callersUrl}/readyz`);
            await answer.arrayBuffer();
            return answer.status === 200;
        }, "the joining node is ready");
        const completion = await new TestCaller(testKeys.large).complete(node, "hello");
        expect(completion.status).toBe(200);
        for (const member of cluster.nodes) {
            expect(member.kernel.find(eventLogName).count(eventKinds.taskFailed)).toBe(0);
        }
    });
});
