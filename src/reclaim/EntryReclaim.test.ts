import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import { generateAnswer } from "../../standins/generateToken";
import type { LocalCluster } from "../../standins/LocalCluster";
import type { ReceivedStream } from "../../standins/readEventStream";
import { readError, TestCaller } from "../../standins/TestCaller";
import { entryReclaimName } from "./EntryReclaim";
import { chatRequestsName } from "../streams/ChatRequests";
import { runTask } from "../kernel/runTask";

const caller = new TestCaller(testKeys.large);
const prompt = "Draft the season plan.";
const longTokens = 500;

/** Opens a long stream and waits for its event 20. */
const openLong = async (
    cluster: LocalCluster,
    node: number,
    headers: Record<string, string> = {},
): Promise<{ done: Promise<ReceivedStream>; requestId: string; }> => {
    let done: Promise<ReceivedStream> | undefined;
    await new Promise<void>(resolve => {
        done = caller.stream(cluster.nodes[node], prompt, { max_tokens: longTokens }, headers, {
            onEvent: event => event.id === 20 && resolve(),
        });
    });
    const [record] = cluster.nodes[node].kernel.find(chatRequestsName).listInProgress();
    return { done: done!, requestId: record.id };
};

/** Resumes a stream on the first node until the answer is complete, and returns the text. */
const finishElsewhere = async (
    cluster: LocalCluster,
    first: ReceivedStream,
    requestId: string,
): Promise<string> => {
    let text = first.text;
    let isComplete = first.isWhole;
    let lastId = first.events.at(-1)?.id;
    await cluster.waitUntil(async () => {
        if (!isComplete) {
            const rest = await caller.resume(cluster.nodes[0], requestId, lastId);
            text += rest.text;
            isComplete = rest.isWhole;
            lastId = rest.events.at(-1)?.id ?? lastId;
        }
        return isComplete;
    }, "the answer is complete");
    return text;
};

describe("reclaim and graceful shutdown of entry VMs", () => {
    let cluster: LocalCluster;

    beforeEach(async () => {
        cluster = createTestCluster({ nodeCount: 3, engineCount: 3 });
        await cluster.start();
    });

    afterEach(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    it("hands a running request over to another data centre and relays the rest to its caller", async () => {
        const { done, requestId } = await openLong(cluster, 2);
        cluster.standIns.cloud.reclaim("vm-entry-2", 6_000);
        const stream = await done;
        expect(stream.isWhole).toBe(true);
        expect(stream.text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
        expect(stream.events.map(event => event.id)).toEqual(stream.events.map((_, index) => index));
        const owners = cluster.nodes.filter(node =>
            node.kernel.find(chatRequestsName).find(requestId, "large")?.state === "answered"
        );
        expect(owners.length).toBe(1);
        expect(owners[0].nodeId).not.toBe("entry-2");
    });

    it("removes a leaving node from the entry list immediately, and the node refuses new work as not run", async () => {
        const leaving = cluster.nodes[2];
        cluster.standIns.cloud.reclaim("vm-entry-2", 3_000);
        await cluster.waitUntil(async () => {
            const answer = await caller.call(cluster.nodes[0], "/v1/entries");
            return !(answer.body.entries as string[]).includes(leaving.callersUrl);
        }, "the leaving node is no longer listed");
        const refused = await caller.complete(leaving, "new work");
        expect(readError(refused)).toMatchObject({ name: "node-leaving", run: "not-run" });
    });

    it("stores requests that no member accepts, and a remaining node recovers them", async () => {
        const { done, requestId } = await openLong(cluster, 2);
        for (const node of cluster.nodes.slice(0, 2)) {
            const chatRequests = node.kernel.find(chatRequestsName);
            const takeOver = chatRequests.takeOver.bind(chatRequests);
            let refusals = 2;
            chatRequests.takeOver = snapshot => {
                refusals -= 1;
                if (refusals >= 0) {
                    throw new Error("this node accepts no hand-over now");
                }
                return takeOver(snapshot);
            };
        }
        await runTask(() => cluster.nodes[2].kernel.find(entryReclaimName).handOverAll(), {
            name: "hand-over",
        }).done;
        expect(cluster.standIns.objects.objects.size).toBe(1);
        await cluster.killNode("entry-2");
        const text = await finishElsewhere(cluster, await done, requestId);
        expect(text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
        expect(cluster.standIns.objects.objects.size).toBe(0);
    });

    it("does not frame a stream as complete whose caller it sends to other nodes", async () => {
        const { done, requestId } = await openLong(cluster, 2);
        const reclaim = cluster.nodes[2].kernel.find(entryReclaimName);
        await runTask(() => reclaim.handOverAll(), { name: "hand-over" }).done;
        await reclaim.stop();
        const first = await done;
        expect(first).toMatchObject({ status: 200, isWhole: false, isBroken: true });
        const text = await finishElsewhere(cluster, first, requestId);
        expect(text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
    });

    it("continues a request locally if neither a member nor the object store accepts it", async () => {
        const { done } = await openLong(cluster, 2);
        for (const node of cluster.nodes.slice(0, 2)) {
            node.kernel.find(chatRequestsName).takeOver = () => {
                throw new Error("this node accepts no hand-over");
            };
        }
        cluster.standIns.objects.server.setFault({ kind: "outage" });
        await runTask(() => cluster.nodes[2].kernel.find(entryReclaimName).handOverAll(), {
            name: "hand-over",
        }).done;
        const stream = await done;
        expect(stream.isWhole).toBe(true);
        expect(stream.text).toBe(generateAnswer(`user\n${prompt}\n`, longTokens));
    });

    it("answers a kept request although its node was killed without notice", async () => {
        const { done, requestId } = await openLong(cluster, 2, { "work-class": "batch" });
        await cluster.killNode("entry-2");
        expect((await done).isWhole).toBe(false);
        await cluster.waitUntil(async () => {
            const answer = await caller.call(cluster.nodes[0], `/v1/requests/${requestId}`);
            const completion = answer.body.answer as
                | { choices: { message: { content: string; }; }[]; }
                | undefined;
            return completion?.choices[0].message.content === generateAnswer(`user\n${prompt}\n`, longTokens);
        }, "the kept request is answered");
    });

    it("refuses a kept request that cannot be stored, and reports it as not run", async () => {
        cluster.standIns.tables.server.setFault({ kind: "outage" });
        const refused = await caller.complete(cluster.nodes[0], "kept", {}, { "work-class": "batch" });
        expect(readError(refused)).toMatchObject({ name: "store-unavailable", run: "not-run" });
        const drafted = await caller.complete(cluster.nodes[0], "not kept");
        expect(drafted.status).toBe(200);
    });

    it("completes streamed answers, other answers and bookings during a graceful shutdown", async () => {
        cluster.standIns.runners.forEach(runner => runner.plain?.server.setFault({ kind: "delay", ms: 300 }));
        const { done } = await openLong(cluster, 2);
        const completion = caller.complete(cluster.nodes[2], "whole", { max_tokens: 200 });
        const booking = caller.book(cluster.nodes[2], "b-1");
        await cluster.clock.sleep(50);
        await cluster.stopNode("entry-2");
        expect((await done).isWhole).toBe(true);
        expect((await completion).status).toBe(200);
        expect((await booking).status).toBe(201);
    });

    it("keeps an unread answer available after a graceful shutdown", async () => {
        const aborting = new AbortController();
        const answer = await fetch(`${cluster.nodes[2].callersUrl}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${testKeys.large}` },
            body: JSON.stringify({
                model: "llm",
                stream: true,
                messages: [{ role: "user", content: prompt }],
            }),
            signal: aborting.signal,
        });
        const requestId = answer.headers.get("request-id")!;
        aborting.abort();
        await cluster.stopNode("entry-2");
        const rest = await caller.resume(cluster.nodes[0], requestId);
        expect(rest.isWhole).toBe(true);
        expect(rest.text).toBe(generateAnswer(`user\n${prompt}\n`));
    });
});
