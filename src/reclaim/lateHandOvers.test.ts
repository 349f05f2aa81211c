import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import { generateAnswer } from "../../standins/generateToken";
import type { LocalCluster } from "../../standins/LocalCluster";
import type { ReceivedStream } from "../../standins/readEventStream";
import { TestCaller } from "../../standins/TestCaller";
import type { EntryNode } from "../daemon/EntryNode";
import { runTask } from "../kernel/runTask";
import { peerNetworkName } from "../peers/PeerNetwork";
import { PeerError } from "../peers/PeerError";
import { chatRequestsName } from "../streams/ChatRequests";
import { entryReclaimName } from "./EntryReclaim";

const caller = new TestCaller(testKeys.large);
const prompt = "Draft the season plan.";
const longTokens = 800;

describe("hand-overs whose answer is late", () => {
    let cluster: LocalCluster;
    let leaving: EntryNode;

    beforeEach(async () => {
        cluster = createTestCluster({ nodeCount: 3, engineCount: 3 });
        await cluster.start();
        leaving = cluster.nodes[2];
    });

    afterEach(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    const openLong = async (): Promise<{ done: Promise<ReceivedStream>; requestId: string; }> => {
        let done: Promise<ReceivedStream> | undefined;
        await new Promise<void>(resolve => {
            done = caller.stream(leaving, prompt, { max_tokens: longTokens }, {}, {
                onEvent: event => event.id === 20 && resolve(),
            });
        });
        const [record] = leaving.kernel.find(chatRequestsName).listInProgress();
        return { done: done!, requestId: record.id };
    };

    const handOverAll = (): Promise<void> =>
        runTask(() => leaving.kernel.find(entryReclaimName).handOverAll(), { name: "hand-over" }).done;

    /** Names the nodes that go on, or went on, with a request. */
    const listOwners = (requestId: string): string[] =>
        cluster.nodes.filter(node => {
            const record = node.kernel.find(chatRequestsName).find(requestId, "large");
            return record && record.state !== "handed-over";
        }).map(({ nodeId }) => nodeId);

    /** Lets the first offer of the leaving node to a member end by a time-out; `send` sends it all the same. */
    const delayFirstOffer = (send: (call: () => Promise<unknown>) => Promise<unknown>): void => {
        const network = leaving.kernel.find(peerNetworkName);
        const call = network.call.bind(network);
        let isFirst = true;
        network.call = async (nodeId, method, payload, timeoutMs) => {
            if (!isFirst || !method.startsWith("hand-over.")) {
                return call(nodeId, method, payload, timeoutMs);
            }
            isFirst = false;
            void send(() => call(nodeId, method, payload, timeoutMs)).catch(() => {});
            await cluster.clock.sleep(timeoutMs);
            throw new PeerError(`member "${nodeId}" did not reply`, "timeout");
        };
    };

    it("does not let a member go on with a request that it is offered late, and that another has taken", async () => {
        const { done, requestId } = await openLong();
        delayFirstOffer(async call => {
            await cluster.clock.sleep(1_200);
            return call();
        });
        await handOverAll();
        await cluster.clock.sleep(800);
        expect(listOwners(requestId).length).toBe(1);
        expect((await done).text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
    });

    it("does not offer a request to the next member after the first has taken it without an answer", async () => {
        const { done, requestId } = await openLong();
        delayFirstOffer(call => call());
        await handOverAll();
        await cluster.clock.sleep(300);
        expect(listOwners(requestId).length).toBe(1);
        expect((await done).text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
    });

    it("hands a request over although the first answer to the member that takes it is lost", async () => {
        const { done, requestId } = await openLong();
        let lost = 0;
        for (const node of cluster.nodes.slice(0, 2)) {
            const network = node.kernel.find(peerNetworkName);
            const call = network.call.bind(network);
            network.call = async (nodeId, method, payload, timeoutMs) => {
                const reply = await call(nodeId, method, payload, timeoutMs);
                if (method === "hand-over.confirm" && lost === 0) {
                    lost += 1;
                    throw new PeerError(`member "${nodeId}" did not reply`, "timeout");
                }
                return reply;
            };
        }
        await handOverAll();
        expect(lost).toBe(1);
        expect(listOwners(requestId).length).toBe(1);
        expect((await done).text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
    });

    it("does not let a member go on with a request whose object was written without an answer", async () => {
        const { done, requestId } = await openLong();
        const others = cluster.nodes.slice(0, 2).map(node => node.kernel.find(chatRequestsName));
        const refused = others.map(chatRequests =>
            jest.spyOn(chatRequests, "takeOver").mockImplementation(() => {
                throw new Error("this node accepts no hand-over now");
            })
        );
        const { objects } = cluster.standIns;
        objects.server.setFault({ kind: "lose-answers" });
        await handOverAll();
        expect(objects.objects.size).toBe(1);
        refused.forEach(spy => spy.mockRestore());
        objects.server.setFault({ kind: "none" });
        await cluster.waitUntil(() => objects.objects.size === 0, "the object is removed");
        expect(listOwners(requestId)).toEqual([leaving.nodeId]);
        expect((await done).text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
    });
});
