import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import { generateAnswer } from "../../standins/generateToken";
import type { LocalCluster } from "../../standins/LocalCluster";
import type { StandInRunner } from "../../standins/StandInCluster";
import { TestCaller } from "../../standins/TestCaller";
import { upstreamRegistryName } from "../upstreams/UpstreamRegistry";

const caller = new TestCaller(testKeys.large);
const tokens = 400;

const listEngines = (cluster: LocalCluster): StandInRunner[] =>
    cluster.standIns.runners.filter(runner => runner.engine !== undefined);

const openStreams = (cluster: LocalCluster, count: number): Promise<boolean[]> =>
    Promise.all(Array.from({ length: count }, async (_, index) => {
        const node = cluster.nodes[index % cluster.nodes.length];
        const stream = await caller.stream(node, `Plan ${index}.`, { max_tokens: tokens });
        return stream.isWhole && stream.text === generateAnswer(`user\nPlan ${index}.\n`, tokens);
    }));

const readRecomputed = async (cluster: LocalCluster): Promise<number> => {
    const stats = await Promise.all(
        listEngines(cluster).map(async runner => {
            const answer = await fetch(`${runner.vm.url}/stats`).catch(() => undefined);
            return answer ? await answer.json() as { recomputedTokens: number; } : { recomputedTokens: 0 };
        }),
    );
    return stats.reduce((sum, entry) => sum + entry.recomputedTokens, 0);
};

const readGenerated = async (runner: StandInRunner): Promise<number> => {
    const answer = await fetch(`${runner.vm.url}/stats`);
    return (await answer.json() as { generatedTokens: number; }).generatedTokens;
};

describe("reclaim and faults of runners", () => {
    let cluster: LocalCluster;

    beforeEach(async () => {
        cluster = createTestCluster({ nodeCount: 2, engineCount: 3 });
        await cluster.start();
    });

    afterEach(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    it("moves KV caches, and streams continue with few recomputed tokens", async () => {
        const done = openStreams(cluster, 12);
        await cluster.waitUntil(
            () => listEngines(cluster).some(runner => runner.engine!.load > 2),
            "an engine is busy",
        );
        const taken = listEngines(cluster).find(runner => runner.engine!.load > 2)!;
        cluster.standIns.cloud.reclaim(taken.vm.id, 1_000);
        expect(await done).toEqual(new Array(12).fill(true));
        expect(await readRecomputed(cluster)).toBeLessThan(tokens);
    });

    it("sends no new requests to a leaving runner", async () => {
        const [leaving] = listEngines(cluster);
        cluster.standIns.cloud.reclaim(leaving.vm.id, 8_000);
        await cluster.waitUntil(
            () =>
                cluster.nodes.every(node =>
                    node.kernel.find(upstreamRegistryName).find(leaving.vm.id)?.isLeaving
                ),
            "all nodes have received the notice",
        );
        const before = await readGenerated(leaving);
        expect(await openStreams(cluster, 12)).toEqual(new Array(12).fill(true));
        expect(await readGenerated(leaving)).toBe(before);
    });

    it("resumes streams of a runner that stops without notice", async () => {
        const done = openStreams(cluster, 9);
        await cluster.waitUntil(
            () => listEngines(cluster).some(runner => runner.engine!.load > 1),
            "an engine is busy",
        );
        const dying = listEngines(cluster).find(runner => runner.engine!.load > 1)!;
        cluster.standIns.cloud.endVm(dying.vm.id);
        expect(await done).toEqual(new Array(9).fill(true));
    });

    it("resumes streams whose connections became silent while new connections work", async () => {
        const done = openStreams(cluster, 9);
        await cluster.waitUntil(
            () => listEngines(cluster).some(runner => runner.engine!.load > 1),
            "an engine is busy",
        );
        const silent = listEngines(cluster).find(runner => runner.engine!.load > 1)!;
        silent.engine!.server.setFault({ kind: "silent" });
        silent.engine!.server.setFault({ kind: "none" });
        expect(await done).toEqual(new Array(9).fill(true));
    });

    it("answers requests while one runner refuses all requests", async () => {
        listEngines(cluster)[0].engine!.server.setFault({ kind: "outage" });
        expect(await openStreams(cluster, 12)).toEqual(new Array(12).fill(true));
    });
});
