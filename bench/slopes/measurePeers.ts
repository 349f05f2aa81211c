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

interface PeerNode {
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly gossip: GossipMap;
}

const sizes: readonly number[] = [8, 16, 32, 64];
const measureMs = 6_000;
const settleMs = 4_000; // until the peers are connected
const heartbeatMs = 500;
const msPerSecond = 1_000;

/**
 * Measures the cost of peer links, heartbeats and membership per node, without any other load. All nodes run in this
 * process.
 *
 * @returns lines over the number of links, and over the number of nodes
 */
export const measurePeers = async (): Promise<LinearFit[]> => {
    const links: number[] = [];
    const bytes: number[] = [];
    const messages: number[] = [];
    const cpu: number[] = [];
    const memory: number[] = [];
    const propagationMs: number[] = [];
    for (const size of sizes) {
        const usageBeforeStart = readOwnUsage();
        const peers = await startPeers(size);
        const usageBefore = readOwnUsage();
        const countersBefore = peers.map(peer => ({ ...peer.network.counters }));
        await pause(measureMs);
        const usageAfter = readOwnUsage();
        const seconds = measureMs / msPerSecond;
        const sentBytes = peers.map((peer, index) =>
            peer.network.counters.bytesSent - countersBefore[index].bytesSent
        );
        const sentMessages = peers.map((peer, index) =>
            peer.network.counters.messagesSent - countersBefore[index].messagesSent
        );
        links.push(Math.max(...peers.map(peer => peer.network.linkedNodeIds.length)));
        bytes.push(Math.max(...sentBytes) / seconds);
        messages.push(Math.max(...sentMessages) / seconds);
        cpu.push((usageAfter.cpuMicroseconds - usageBefore.cpuMicroseconds) / size / seconds);
        memory.push((usageAfter.heapBytes - usageBeforeStart.heapBytes) / size);
        propagationMs.push(await measurePropagationMs(peers));
        await Promise.all(peers.map(peer => stopPeer(peer)));
    }
    const fitByLinks = (figure: string, values: readonly number[]): LinearFit =>
        fitLine(
            figure,
            "link of the node with most links",
            links.map((size, index) => ({ size, value: values[index] })),
        );
    const fitByNodes = (figure: string, values: readonly number[]): LinearFit =>
        fitLine(figure, "node", sizes.map((size, index) => ({ size, value: values[index] })));
    return [
        fitByLinks("peer bytes sent a second", bytes),
        fitByLinks("peer messages sent a second", messages),
        fitByLinks("peer processor microseconds a second", cpu),
        fitByLinks("peer heap bytes", memory),
        fitByNodes("links of the node with most links", links),
        fitByNodes("milliseconds until a change is known to all nodes", propagationMs),
    ];
};

const startPeers = async (count: number): Promise<PeerNode[]> => {
    const peers: PeerNode[] = [];
    for (let index = 0; index < count; index += 1) {
        peers.push(await startPeer(`entry-${index}`));
    }
    const entries = peers.flatMap(peer => peer.gossip.listEntries());
    peers.forEach(peer => peer.gossip.merge(entries, "bench"));
    await pause(settleMs);
    return peers;
};

const startPeer = async (nodeId: string): Promise<PeerNode> => {
    const clock = new SystemClock();
    const events = new EventLog({ node: nodeId, clock, maxRetainedEvents: 64 });
    const gossip = new GossipMap({ nodeId, hybridClock: events.hybridClock });
    const network = new PeerNetwork({
        nodeId,
        readClusterKey: () => "bench-cluster-key-0123",
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

/** Measures the time until every peer sees a change that the first peer made in its gossip map. */
const measurePropagationMs = async (peers: readonly PeerNode[]): Promise<number> => {
    const startedMs = performance.now();
    peers[0].gossip.set("bench", startedMs);
    while (!peers.every(peer => peer.gossip.get("bench") === startedMs)) {
        await pause(1);
    }
    return performance.now() - startedMs;
};

const stopPeer = async (peer: PeerNode): Promise<void> => {
    await peer.membership.stop();
    await peer.network.stop();
};
