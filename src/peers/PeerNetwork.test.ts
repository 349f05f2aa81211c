import { connect, type Socket } from "node:net";
import { WebSocket } from "ws";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { SystemClock } from "../kernel/SystemClock";
import { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeHandshakeProof } from "./computeHandshakeProof";
import { GossipMap } from "./GossipMap";
import { encodeFrame } from "./encodeFrame";
import { PeerNetwork } from "./PeerNetwork";

interface TestPeer {
    readonly network: PeerNetwork;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    readonly url: string;
}

const clusterKey = "cluster-key-0123456789";
const opened: PeerNetwork[] = [];

const startPeer = async (nodeId: string, key = clusterKey): Promise<TestPeer> => {
    const clock = new SystemClock();
    const events = new EventLog({ node: nodeId, clock });
    const gossip = new GossipMap({ nodeId, hybridClock: events.hybridClock });
    const network = new PeerNetwork({
        nodeId,
        readClusterKey: () => key,
        host: "127.0.0.1",
        port: 0,
        heartbeatMs: 50,
        linkTimeoutMs: 400,
        maxFrameBytes: 10_000,
        clock,
        random: new SeededRandom(nodeId.charCodeAt(0)),
        events,
        gossip,
        readRevision: () => 1,
        idleLinkTimeoutMs: 200,
    });
    await network.start();
    opened.push(network);
    return { network, events, gossip, url: `ws://127.0.0.1:${network.port}` };
};

const waitUntil = async (holds: () => boolean): Promise<void> => {
    for (let turn = 0; turn < 500 && !holds(); turn += 1) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(holds()).toBe(true);
};

const connectPeers = (a: TestPeer, b: TestPeer): void => {
    const members = [{ nodeId: "a", url: a.url }, { nodeId: "b", url: b.url }];
    a.network.setMembers(members);
    b.network.setMembers(members);
};

/** Connects a bare web socket and authenticates it as the member `raw`. */
const connectRaw = async (peer: TestPeer): Promise<WebSocket> => {
    const socket = new WebSocket(peer.url);
    const nonce = await new Promise<string>(resolve => {
        socket.once("message", data => {
            const text = (data as Buffer).toString("latin1");
            resolve(/[0-9a-f]{32}/.exec(text)![0]);
        });
    });
    socket.send(encodeFrame({ kind: "hello", nodeId: "raw", nonce: "0".repeat(32) }));
    socket.send(
        encodeFrame({
            kind: "proof",
            mac: computeHandshakeProof({ clusterKey, side: "dialer", nodeId: "raw", nonce }),
        }),
    );
    await waitUntil(() => peer.network.linkedNodeIds.includes("raw"));
    return socket;
};

describe("PeerNetwork", () => {
    afterEach(async () => {
        await Promise.all(opened.splice(0).map(network => network.stop()));
    });

    it("links members, answers calls and replicates gossip entries", async () => {
        const [a, b] = [await startPeer("a"), await startPeer("b")];
        b.network.registerHandler("double", async payload => (payload as number) * 2);
        connectPeers(a, b);
        await waitUntil(() => a.network.linkedNodeIds.length === 1 && b.network.linkedNodeIds.length === 1);
        expect(await a.network.call("b", "double", 21, 1_000)).toBe(42);
        await expect(a.network.call("b", "nope", 1, 1_000)).rejects.toThrow("method \"nope\" does not exist");
        a.gossip.set("hint", { x: 1 });
        await waitUntil(() => JSON.stringify(b.gossip.get("hint")) === "{\"x\":1}");
    });

    it("repairs missing gossip entries when the digests of the heartbeats differ", async () => {
        const [a, b] = [await startPeer("a"), await startPeer("b")];
        a.gossip.set("before", 1);
        connectPeers(a, b);
        await waitUntil(() => b.gossip.get("before") === 1);
        expect(a.gossip.digest).toBe(b.gossip.digest);
    });

    // Guards against links that end each time that a member passes on a reading with many entries of another writer.
    it("keeps a link when a report is larger than a frame may be", async () => {
        const [a, b] = [await startPeer("a"), await startPeer("b")];
        const lost: string[] = [];
        const received: unknown[] = [];
        [a, b].forEach(peer => peer.network.onLinkLost(nodeId => lost.push(nodeId)));
        b.network.onReport("reading", (_nodeId, payload) => received.push(payload));
        connectPeers(a, b);
        await waitUntil(() => a.network.linkedNodeIds.length === 1 && b.network.linkedNodeIds.length === 1);
        a.network.sendReportTo("b", "reading", "x".repeat(10_000));
        a.network.sendReportTo("b", "reading", "x".repeat(9_000));
        await waitUntil(() => received.length === 1);
        expect(lost).toEqual([]);
        expect(a.events.count(eventKinds.peerRejected)).toBe(1);
    });

    it("opens a link for a call and closes it when idle, without reporting a loss", async () => {
        const [a, b] = [await startPeer("a"), await startPeer("b")];
        const lost: string[] = [];
        [a, b].forEach(peer => peer.network.onLinkLost(nodeId => lost.push(nodeId)));
        a.network.registerHandler("ping", async () => "pong");
        b.network.setMembers([{ nodeId: "a", url: a.url }]);
        expect(b.network.linkedNodeIds).toEqual([]);
        expect(await b.network.call("a", "ping", {}, 1_000)).toBe("pong");
        await waitUntil(() => b.network.linkedNodeIds.length === 0 && a.network.linkedNodeIds.length === 0);
        expect(lost).toEqual([]);
    });

    it("rejects a peer that does not know the cluster key", async () => {
        const [a, b] = [await startPeer("a"), await startPeer("b", "another-key-0123456789")];
        connectPeers(a, b);
        await waitUntil(() =>
            a.events.count(eventKinds.peerRejected) > 0 && b.events.count(eventKinds.peerRejected) > 0
        );
        expect(a.network.linkedNodeIds).toEqual([]);
        expect(b.network.linkedNodeIds).toEqual([]);
    });

    // Guards against a node that does nothing else until the time-out of a call to a member that ends the handshake.
    it("does not occupy the process while it calls a peer that ends the handshake", async () => {
        const [a, b] = [await startPeer("a"), await startPeer("b", "another-key-0123456789")];
        b.network.setMembers([{ nodeId: "a", url: a.url }]);
        let longestMs = 0;
        let lastMs = performance.now();
        const timer = setInterval(() => {
            longestMs = Math.max(longestMs, performance.now() - lastMs);
            lastMs = performance.now();
        }, 5);
        await expect(b.network.call("a", "ping", {}, 1_000)).rejects.toThrow("handshake");
        longestMs = Math.max(longestMs, performance.now() - lastMs);
        clearInterval(timer);
        expect(longestMs).toBeLessThan(500);
    });

    it("rejects a peer that reflects the node's own messages", async () => {
        const a = await startPeer("a");
        const socket = new WebSocket(a.url);
        socket.on("message", data => socket.send(data as Buffer));
        await waitUntil(() => a.events.count(eventKinds.peerRejected) > 0);
        expect(a.network.linkedNodeIds).toEqual([]);
    });

    it("drops undecodable frames and invalid messages, and closes a link that sends many", async () => {
        const a = await startPeer("a");
        const socket = await connectRaw(a);
        socket.send(Buffer.from([0xc1, 0xc1, 0xff]));
        socket.send(encodeFrame({ kind: "heartbeat", time: "now" }));
        await waitUntil(() => a.events.count(eventKinds.peerRejected) === 2);
        expect(a.network.linkedNodeIds).toEqual(["raw"]);
        for (let index = 0; index < 3; index += 1) {
            socket.send(encodeFrame({ kind: "unknown" }));
        }
        await waitUntil(() => a.network.linkedNodeIds.length === 0);
    });

    it("closes a link that sends a frame over the size limit", async () => {
        const a = await startPeer("a");
        const socket = await connectRaw(a);
        socket.on("error", () => {});
        socket.send(Buffer.alloc(20_000));
        await waitUntil(() => a.network.linkedNodeIds.length === 0);
    });

    // Guards against a member that takes the memory of another, since that keeps what the member does not read.
    it("closes a link whose member sends calls but reads no replies", async () => {
        const a = await startPeer("a");
        a.network.registerHandler("list", async () => "x".repeat(9_000));
        const socket = await connectRaw(a);
        (socket as unknown as { readonly _socket: Socket; })._socket.pause();
        const call = encodeFrame({ kind: "call", callId: 1, method: "list", payload: {} });
        const startMs = performance.now();
        let calls = 0;
        while (a.network.linkedNodeIds.length > 0 && performance.now() - startMs < 10_000) {
            socket.send(call);
            calls += 1;
            await new Promise(resolve => setImmediate(resolve));
        }
        expect(a.network.linkedNodeIds).toEqual([]);
        expect(calls * 9_000).toBeLessThan(32_000_000); // what the buffers of the system and of the link may take
        socket.terminate();
    });

    // Guards against requests of other protocols without end that occupy the process.
    it.each([
        ["a body", "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"],
        ["requests", "", "GET / HTTP/1.1\r\nhost: a\r\n\r\n"],
    ])(
        "closes a connection that is no web socket and on which bytes arrive without end: %s",
        async (...kind) => {
            const a = await startPeer("a");
            const [, first, repeated] = kind;
            const socket = connect(a.network.port, "127.0.0.1");
            socket.on("error", () => {});
            writeEndlessly(socket, first, repeated.repeat(1_000), () => {});
            await waitUntil(() => socket.destroyed);
        },
    );

    it("closes a link on which nothing arrives and reports its loss", async () => {
        const a = await startPeer("a");
        const lost: string[] = [];
        a.network.onLinkLost(nodeId => lost.push(nodeId));
        await connectRaw(a);
        await waitUntil(() => lost.includes("raw"));
        expect(a.network.linkedNodeIds).toEqual([]);
    });

    it("advances hybrid time past a received time that is ahead of the injected clock", () => {
        const events = new EventLog({ node: "a", clock: new FakeClock({ startMs: 5 }) });
        events.hybridClock.merge({ wallMs: 9, counter: 3 });
        expect(events.hybridClock.tick()).toEqual({ wallMs: 9, counter: 4 });
    });
});
