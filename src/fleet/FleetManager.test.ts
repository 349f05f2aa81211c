import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import { TestCaller } from "../../standins/TestCaller";

const offers = ["dc-a", "dc-b", "dc-c"].flatMap(dataCentre => [
    { dataCentre, machineClass: "gpu-a", market: "reclaimable" as const, pricePerHour: 1 },
    { dataCentre, machineClass: "gpu-a", market: "on-demand" as const, pricePerHour: 3 },
]);

describe("FleetManager", () => {
    it("replaces reclaimed runners without on-demand ones while reclaimable ones are available", async () => {
        const cluster = createTestCluster({
            nodeCount: 2,
            engineCount: 2,
            fleet: true,
            standIns: {
                modelRunners: ["dc-a", "dc-b"].map(dataCentre => ({ service: "llm", dataCentre })),
                plainRunners: [],
                offers,
                listLagMs: 50,
            },
        });
        await cluster.start();
        const [taken] = cluster.standIns.runners;
        cluster.standIns.cloud.reclaim(taken.vm.id, 500);
        await cluster.waitUntil(
            () => cluster.nodes.every(node => node.countRunners("llm") === 1),
            "the notice is known",
        );
        await cluster.waitUntil(
            () => cluster.nodes.every(node => node.countRunners("llm") >= 2),
            "the reclaimed runner is replaced",
        );
        const answer = await new TestCaller(testKeys.large).complete(
            cluster.nodes[0],
            "after the replacement",
        );
        expect(answer.status).toBe(200);
        const added = cluster.standIns.runners.slice(2);
        expect(added.map(runner => runner.vm.market)).not.toContain("on-demand");
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });
});
