import { SystemClock } from "../../src/kernel/SystemClock";
import { SystemRandom } from "../../src/kernel/SystemRandom";
import { Membership } from "../../src/membership/Membership";
import { GossipMap } from "../../src/peers/GossipMap";
import { PeerNetwork } from "../../src/peers/PeerNetwork";
import { EventLog } from "../../src/telemetry/EventLog";
import { pause } from "../../standins/pause";
import { fitLine } from "./fitLine";
import { readOwnUsage } from "./measureOwnUsage";
import type { LinearFit } from "./types";

interface Peer {
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly gossip: GossipMap;
}

const sizes: readonly number[] = [8, 16, 32, 64];
const measureMs = 6_000;
const settleMs = 4_000;
const heartbeatMs = 500;
const msPerSecond = 1_000;

/**
 * Measures what links, heartbeats and membership cost one node, with nothing else going on.
 *
 * @returns slopes over the number of links, and the figures at each number of nodes
 */
export const measurePeers = async (): Promise<LinearFit[]> => {
    const links: number[] = [];
    const bytes: number[] = [];
    const messages: number[] = [];
    const cpu: number[] = [];
    const memory: number[] = [];
    const spreadMs: number[] = [];
    for (const size of sizes) {
        const before = readOwnUsage();
        const peers = await startPeers(size);
        const idle = readOwnUsage();
        const counted = peers.map(peer => ({ ...peer.network.counters }));
        await pause(measureMs);
        const after = readOwnUsage();
        const seconds = measureMs / msPerSecond;
        const sent = peers.map((peer, index) => peer.network.counters.bytesSent - counted[index].bytesSent);
        const sentMessages = peers.map((peer, index) =>
            peer.network.counters.messagesSent - counted[index].messagesSent
        );
        links.push(Math.max(...peers.map(peer => peer.network.linkedNodeIds.length)));
        bytes.push(Math.max(...sent) / seconds);
        messages.push(Math.max(...sentMessages) / seconds);
        cpu.push((after.cpuMicroseconds - idle.cpuMicroseconds) / size / seconds);
        memory.push((after.heapBytes - before.heapBytes) / size);
        spreadMs.push(await measureSpread(peers));
        await Promise.all(peers.map(peer => stopPeer(peer)));
    }
    const fit = (figure: string, values: readonly number[]): LinearFit =>
        fitLine(
            figure,
            "link of the node with most links",
            links.map((size, index) => ({ size, value: values[index] })),
        );
    const list = (figure: string, values: readonly number[]): LinearFit =>
        fitLine(figure, "node", sizes.map((size, index) => ({ size, value: values[index] })));
    return [
        fit("peer bytes sent a second", bytes),
        fit("peer messages sent a second", messages),
        fit("peer processor microseconds a second", cpu),
        fit("peer heap bytes", memory),
        list("links of the node with most links", links),
        list("milliseconds until a change is known to all nodes", spreadMs),
    ];
};

const startPeers = async (count: number): Promise<Peer[]> => {
    const peers: Peer[] = [];
    for (let index = 0; index < count; index += 1) {
        peers.push(await startPeer(`entry-${index}`));
    }
    const entries = peers.flatMap(peer => peer.gossip.listEntries());
    peers.forEach(peer => peer.gossip.merge(entries, "bench"));
    await pause(settleMs);
    return peers;
};

const startPeer = async (nodeId: string): Promise<Peer> => {
    const clock = new SystemClock();
    const events = new EventLog({ node: nodeId, clock, maxRetainedEvents: 64 });
    const gossip = new GossipMap({ nodeId, hybridClock: events.hybridClock });
    const network = new PeerNetwork({
        nodeId,
        clusterKey: "bench-cluster-key-0123",
        host: "127.0.0.1",
        port: 0,
        heartbeatMs,
        linkTimeoutMs: 4 * heartbeatMs,
        maxFrameBytes: 4_194_304,
        clock,
        random: new SystemRandom(),
        events,
        gossip,
        readRevision: () => 1,
    });
    await network.start();
    const membership = new Membership({
        self: {
            nodeId,
            dataCentre: "dc",
            callersUrl: "http://127.0.0.1:1",
            peersUrl: `ws://127.0.0.1:${network.port}`,
            incarnation: clock.readWallMs(),
        },
        clock,
        events,
        gossip,
        network,
        heartbeatMs,
        goneAfterMs: 8 * heartbeatMs,
    });
    await membership.start();
    return { network, membership, gossip };
};

const measureSpread = async (peers: readonly Peer[]): Promise<number> => {
    const startedMs = performance.now();
    peers[0].gossip.set("bench", startedMs);
    while (!peers.every(peer => peer.gossip.get("bench") === startedMs)) {
        await pause(1);
    }
    return performance.now() - startedMs;
};

const stopPeer = async (peer: Peer): Promise<void> => {
    await peer.membership.stop();
    await peer.network.stop();
};
