import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import type { LocalCluster } from "../../standins/LocalCluster";
import { readError, TestCaller } from "../../standins/TestCaller";
import type { EntryNode } from "../daemon/EntryNode";
import { peerNetworkName } from "../peers/PeerNetwork";
import { PeerError } from "../peers/PeerError";
import { chatRequestsName } from "../streams/ChatRequests";

const caller = new TestCaller(testKeys.large);

/** Lets the calls of a node that look for requests end without an answer; returns a function that ends this. */
const silenceSearches = (node: EntryNode): () => void => {
    const network = node.kernel.find(peerNetworkName);
    const call = network.call.bind(network);
    network.call = async (nodeId, method, payload, timeoutMs) => {
        if (method === "requests.find") {
            throw new PeerError(`member "${nodeId}" did not reply`, "timeout");
        }
        return call(nodeId, method, payload, timeoutMs);
    };
    return () => {
        network.call = call;
    };
};

describe("model requests with an Idempotency-Key", () => {
    let cluster: LocalCluster;

    beforeEach(async () => {
        cluster = createTestCluster({ nodeCount: 2 });
        await cluster.start();
    });

    afterEach(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    const countRuns = (): number =>
        cluster.nodes.flatMap(node => node.kernel.find(chatRequestsName).listRecords())
            .filter(record => record.attemptCount > 0).length;

    it("are not run again while the member that runs them does not answer", async () => {
        const [first, second] = cluster.nodes;
        const headers = { "idempotency-key": "silent-1" };
        expect((await caller.complete(first, "keyed", {}, headers)).status).toBe(200);
        silenceSearches(second);
        const refused = await caller.complete(second, "keyed", {}, headers);
        expect(refused.status).toBe(503);
        expect(readError(refused)).toMatchObject({ name: "idempotency-key-unconfirmed", run: "unknown" });
        expect(countRuns()).toBe(1);
    }, 20_000);

    it("get the first run's answer once the member that runs them answers", async () => {
        const [first, second] = cluster.nodes;
        const headers = { "idempotency-key": "late-1" };
        const one = await caller.complete(first, "keyed", {}, headers);
        const endSilence = silenceSearches(second);
        const repeated = caller.complete(second, "keyed", {}, headers);
        await cluster.clock.sleep(500);
        endSilence();
        expect((await repeated).body.choices).toEqual(one.body.choices);
        expect(countRuns()).toBe(1);
    });

    it("are run although a member was killed", async () => {
        await cluster.killNode("entry-0");
        const answer = await caller.complete(cluster.nodes[0], "keyed", {}, {
            "idempotency-key": "killed-1",
        });
        expect(answer.status).toBe(200);
    });

    it.each([
        ["one node", [0, 0, 0]],
        ["two nodes", [0, 1]],
        ["several nodes", [0, 1, 1, 0]],
    ])("run once when they come to %s at the same time", async (_, targets) => {
        const headers = { "idempotency-key": "together-1" };
        const signal = AbortSignal.timeout(8_000);
        const answers = await Promise.all(targets.map(async index => {
            const answer = await fetch(`${cluster.nodes[index].callersUrl}/v1/chat/completions`, {
                method: "POST",
                headers: { ...headers, authorization: `Bearer ${testKeys.large}` },
                body: JSON.stringify({ model: "llm", messages: [{ role: "user", content: "keyed" }] }),
                signal,
            });
            return { status: answer.status, body: await answer.text() };
        }));
        expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([200]));
        expect(new Set(answers.map(({ body }) => body)).size).toBe(1);
        expect(countRuns()).toBe(1);
    });
});
