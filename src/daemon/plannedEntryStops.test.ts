import { createTestCluster, testKeys } from "../../standins/createTestCluster";
import type { LocalCluster } from "../../standins/LocalCluster";
import { pause } from "../../standins/pause";
import type { PlainStandIn } from "../../standins/PlainStandIn";
import { readError, TestCaller, type TestResponse } from "../../standins/TestCaller";
import type { EntryNode } from "./EntryNode";

const drainMs = 800;
const intervalMs = 20;
const leadMs = 200;
const longMs = 2_000;
const slowStoreMs = 300;
const unreadMs = 200; // a call that crosses the close of its connection

interface Booked {
    readonly key: string;
    /** Undefined if no complete answer arrived. */
    readonly answer: TestResponse | undefined;
    /** Time from its start to its end, in milliseconds. */
    readonly lastedMs: number;
}

describe("an entry node that is stopped as planned", () => {
    let cluster: LocalCluster;
    let node: EntryNode;
    let bookingCount: number;

    beforeEach(async () => {
        bookingCount = 0;
        cluster = createTestCluster({ nodeCount: 2, timing: { drainMs } });
        await cluster.start();
        node = cluster.nodes[1];
    });

    afterEach(async () => {
        await cluster.stop();
        expect(cluster.brokenInvariants).toEqual([]);
    });

    const listServices = (): PlainStandIn[] =>
        cluster.standIns.runners.flatMap(({ plain }) => plain ? [plain] : []);

    const book = async (): Promise<Booked> => {
        bookingCount += 1;
        const key = `key-${bookingCount}`;
        const startMs = performance.now();
        const answer = await new TestCaller(testKeys.large).book(node, key).catch(() => undefined);
        return { key, answer, lastedMs: performance.now() - startMs };
    };

    /** Stops the node while bookings are sent to it. */
    const stopUnderLoad = async (): Promise<{ booked: Booked[]; runKeys: Set<string | undefined>; }> => {
        const sent: Promise<Booked>[] = [];
        const sending = setInterval(() => sent.push(book()), intervalMs);
        await pause(leadMs);
        await cluster.stopNode(node.nodeId);
        clearInterval(sending);
        const booked = await Promise.all(sent);
        const runs = listServices().flatMap(service => service.runs);
        return { booked, runKeys: new Set(runs.map(({ idempotencyKey }) => idempotencyKey)) };
    };

    const listUnanswered = (booked: readonly Booked[], runKeys: Set<string | undefined>): Booked[] =>
        booked.filter(({ key, answer, lastedMs }) => !answer && (runKeys.has(key) || lastedMs > unreadMs));

    const listFalseRefusals = (booked: readonly Booked[], runKeys: Set<string | undefined>): Booked[] =>
        booked.filter(({ answer, key }) =>
            answer && answer.status >= 400 && readError(answer).run === "not-run" && runKeys.has(key)
        );

    // Guards against calls that are still running when the time to drain is over, and end without an answer.
    it("answers calls that do not end in time, and says of none that ran that it has not", async () => {
        listServices().forEach(service => {
            service.workMs = longMs;
        });
        const { booked, runKeys } = await stopUnderLoad();
        expect(listUnanswered(booked, runKeys)).toEqual([]);
        expect(listFalseRefusals(booked, runKeys)).toEqual([]);
        const codes = booked.flatMap(({ answer }) => answer ? [readError(answer)?.name] : []);
        expect(codes).toContain("stopped-unanswered");
        expect(codes).toContain("node-leaving");
    });

    // Guards against calls that wait for their record while the node is told to stop, and are sent too late.
    it("sends no call that waited for its record until too late to end in time", async () => {
        listServices().forEach(service => {
            service.workMs = longMs;
        });
        cluster.standIns.tables.server.setFault({ kind: "delay", ms: slowStoreMs });
        const { booked, runKeys } = await stopUnderLoad();
        cluster.standIns.tables.server.setFault({ kind: "none" });
        expect(listUnanswered(booked, runKeys)).toEqual([]);
        expect(listFalseRefusals(booked, runKeys)).toEqual([]);
        const refused = booked.filter(({ answer }) => answer && readError(answer).name === "node-leaving");
        expect(refused.length).toBeGreaterThan(0);
    });
});
