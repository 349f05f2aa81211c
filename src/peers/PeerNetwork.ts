import type { AddressInfo } from "node:net";
import { WebSocketServer } from "ws";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { dialPeer, type PeerConnection } from "./dialPeer";
import { FrameQueue } from "./FrameQueue";
import type { GossipMap } from "./GossipMap";
import { gossipExchangeMethod, GossipReplicator } from "./GossipReplicator";
import { peerMessageSchema } from "./peerMessageSchema";
import { PeerError } from "./PeerError";
import { type LinkCounters, PeerLink } from "./PeerLink";
import {
    type HeartbeatListener,
    type PeerHandler,
    PeerMessageRouter,
    type ReportListener,
} from "./PeerMessageRouter";
import { authenticatePeer } from "./authenticatePeer";
import { selectDialTargets } from "./selectDialTargets";

/** A member that can be dialled. */
export interface PeerAddress {
    readonly nodeId: string;
    readonly url: string;
}

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
    readonly nodeId: string;
    readonly clusterKey: string;
    readonly host: string;
    readonly port: number;
    readonly heartbeatMs: number;
    readonly linkTimeoutMs: number;
    readonly maxFrameBytes: number;
    readonly maxFullMeshMembers?: number;
    /** A link made for a call is closed when no call used it for this long; default 30,000 ms. */
    readonly idleLinkTimeoutMs?: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    /** Configuration revision for the heartbeats. */
    readonly readRevision: () => number;
}

const firstRedialMs = 100;
const maxRedialMs = 2_000;
const defaultUnusedLinkMs = 30_000;
const garbledPerLink = 3; // a link with more unreadable frames is closed

/** Links to other members: heartbeats, calls, and the spreading of the gossip map. */
export class PeerNetwork {
    readonly counters: LinkCounters = {
        messagesSent: 0,
        bytesSent: 0,
        messagesReceived: 0,
        bytesReceived: 0,
    };
    private readonly links = new Map<string, PeerLink>();
    private readonly dialTasks = new Map<string, () => void>();
    private readonly addresses = new Map<string, string>();
    private readonly scope: TaskScope;
    private server: WebSocketServer | undefined;
    private readonly lossListeners: ((nodeId: string) => void)[] = [];
    private readonly spreader: GossipReplicator;
    private readonly router: PeerMessageRouter;

    constructor(private readonly options: PeerNetworkOptions) {
        this.scope = createLoggedTaskScope(options.events);
        this.spreader = new GossipReplicator({
            gossip: options.gossip,
            events: options.events,
            listLinks: () => this.links.values(),
        });
        this.router = new PeerMessageRouter({ events: options.events, spreader: this.spreader });
        this.handle(
            gossipExchangeMethod,
            async (payload, fromNode) => this.spreader.answerExchange(payload, fromNode),
        );
    }

    /** Port on which members connect; known after {@link start}. */
    get port(): number {
        return (this.server!.address() as AddressInfo).port;
    }

    /** Names of the members to which a link is up. */
    get linkedNodes(): readonly string[] {
        return [...this.links.keys()];
    }

    /** Listens for members and starts heartbeats and gossip. */
    async start(): Promise<void> {
        const server = new WebSocketServer({
            host: this.options.host,
            port: this.options.port,
            maxPayload: this.options.maxFrameBytes,
        });
        this.server = server;
        server.on("connection", socket => {
            const dialled = { socket, queue: new FrameQueue(socket) };
            this.scope.run("peer-accepted", signal => this.serveSocket(dialled, "acceptor", signal));
        });
        await new Promise<void>((resolve, reject) => {
            server.once("listening", resolve);
            server.once("error", reject);
        });
        this.scope.run("heartbeats", signal => this.sendHeartbeats(signal));
        this.spreader.start();
    }

    /** Closes every link. */
    async stop(): Promise<void> {
        for (const link of this.links.values()) {
            link.close();
        }
        for (const client of this.server?.clients ?? []) {
            client.terminate();
        }
        await this.scope.cancel();
        await new Promise<void>(resolve => this.server ? this.server.close(() => resolve()) : resolve());
    }

    /** Registers the handler of a method. */
    handle(method: string, handler: PeerHandler): void {
        this.router.handle(method, handler);
    }

    /** Registers the listener for the reports of a topic. */
    onReport(topic: string, listener: ReportListener): void {
        this.router.onReport(topic, listener);
    }

    /** Tells a reading to every member to which a link is up. Nothing is sent again. */
    sendReport(topic: string, payload: unknown): void {
        for (const link of this.links.values()) {
            link.send({ kind: "report", topic, payload });
        }
    }

    /** Registers a listener for heartbeats. */
    onHeartbeat(listener: HeartbeatListener): void {
        this.router.onHeartbeat(listener);
    }

    /** Registers a listener for lost links. */
    onLinkLost(listener: (nodeId: string) => void): void {
        this.lossListeners.push(listener);
    }

    /**
     * Sets the members that may be dialled and keeps links to those of them that this node must dial.
     *
     * @param members - the known members that are not gone
     */
    setMembers(members: readonly PeerAddress[]): void {
        this.addresses.clear();
        members.forEach(member => this.addresses.set(member.nodeId, member.url));
        const wanted = new Set(selectDialTargets({
            nodeId: this.options.nodeId,
            memberIds: members.map(member => member.nodeId),
            maxFullMeshMembers: this.options.maxFullMeshMembers,
        }));
        for (const [nodeId, cancel] of this.dialTasks) {
            if (!wanted.has(nodeId)) {
                cancel();
                this.dialTasks.delete(nodeId);
            }
        }
        for (const nodeId of wanted) {
            if (!this.dialTasks.has(nodeId)) {
                const handle = this.scope.run(`peer-${nodeId}`, signal => this.keepLink(nodeId, signal));
                this.dialTasks.set(nodeId, () => handle.cancel());
            }
        }
    }

    /**
     * Calls a method of a member, over a link made for it when there is none.
     *
     * @param nodeId - the member
     * @param method - the method's name
     * @param payload - plain data
     * @param timeoutMs - longest wait for the reply
     * @returns the reply
     * @throws PeerError when the member cannot be reached, is late or refuses
     */
    async call(nodeId: string, method: string, payload: unknown, timeoutMs: number): Promise<unknown> {
        const link = this.links.get(nodeId) ?? await this.openLink(nodeId, timeoutMs);
        return link.call(method, payload, timeoutMs);
    }

    private async openLink(nodeId: string, timeoutMs: number): Promise<PeerLink> {
        const url = this.addresses.get(nodeId);
        if (!url) {
            throw new PeerError(`member "${nodeId}" is not known`, "unreachable");
        }
        const { clock, maxFrameBytes } = this.options;
        const dialled = await dialPeer({ url, timeoutMs, maxFrameBytes, clock });
        const handle = this.scope.run(
            `peer-${nodeId}`,
            signal => this.serveSocket(dialled, "dialer", signal, true),
        );
        const deadlineMs = this.options.clock.readMonotonicMs() + timeoutMs;
        while (!this.links.has(nodeId) && this.options.clock.readMonotonicMs() < deadlineMs) {
            await Promise.race([this.options.clock.sleep(5), handle.done]);
        }
        const link = this.links.get(nodeId);
        if (!link) {
            throw new PeerError(`member "${nodeId}" did not complete the handshake`, "unreachable");
        }
        return link;
    }

    /** Dials a member again and again until cancelled. */
    private *keepLink(nodeId: string, signal: AbortSignal): Task<void> {
        let delayMs = firstRedialMs;
        while (!signal.aborted) {
            const startedMs = this.options.clock.readMonotonicMs();
            const url = this.addresses.get(nodeId);
            if (url && !this.links.has(nodeId)) {
                try {
                    const dialled = yield* waitFor(dialPeer({
                        url,
                        timeoutMs: this.options.linkTimeoutMs,
                        maxFrameBytes: this.options.maxFrameBytes,
                        clock: this.options.clock,
                    }));
                    yield* this.serveSocket(dialled, "dialer", signal);
                }
                catch (error) {
                    if (!(error instanceof PeerError)) {
                        throw error;
                    }
                    this.lossListeners.forEach(listener => listener(nodeId));
                }
            }
            const lastedMs = this.options.clock.readMonotonicMs() - startedMs;
            delayMs = lastedMs > maxRedialMs ? firstRedialMs : Math.min(maxRedialMs, delayMs * 2);
            const jitter = 0.5 + this.options.random.drawFloat() / 2;
            yield* waitFor(this.options.clock.sleep(delayMs * jitter, signal));
        }
    }

    /** Serves one connection from the handshake to its end. */
    private *serveSocket(
        dialled: PeerConnection,
        side: "dialer" | "acceptor",
        signal: AbortSignal,
        isOnDemand = false,
    ): Task<void> {
        const { socket, queue } = dialled;
        let link: PeerLink | undefined;
        try {
            const proven = yield* authenticatePeer({
                socket,
                queue,
                side,
                nodeId: this.options.nodeId,
                clusterKey: this.options.clusterKey,
                nonce: this.options.random.drawId(16),
                timeoutMs: this.options.linkTimeoutMs,
                clock: this.options.clock,
                signal,
            });
            if (!proven) {
                this.options.events.emit(eventKinds.peerRejected, { reason: "handshake failed", side });
                return;
            }
            link = new PeerLink(proven, socket, this.options.clock, this.counters, isOnDemand);
            this.links.get(proven)?.close();
            this.links.set(proven, link);
            this.options.events.emit(eventKinds.peerConnected, { peer: proven, side });
            this.sendHeartbeat(link);
            yield* this.receiveFrames(link, queue, signal);
        }
        finally {
            socket.terminate();
            this.dropLink(link);
        }
    }

    private *receiveFrames(link: PeerLink, queue: FrameQueue, signal: AbortSignal): Task<void> {
        let garbled = 0;
        while (!signal.aborted) {
            const frame = yield* waitFor(queue.take());
            if (frame.kind === "closed") {
                return;
            }
            link.lastReceivedMs = this.options.clock.readMonotonicMs();
            const parsed = frame.kind === "frame" ? peerMessageSchema.safeParse(frame.message) : undefined;
            if (!parsed?.success || frame.kind !== "frame") {
                garbled += 1;
                this.options.events.emit(eventKinds.peerRejected, {
                    reason: "unreadable frame",
                    peer: link.nodeId,
                });
                if (garbled > garbledPerLink) {
                    return;
                }
                continue;
            }
            this.counters.messagesReceived += 1;
            this.counters.bytesReceived += frame.bytes;
            this.router.route(link, parsed.data);
            if (parsed.data.kind === "goodbye") {
                return;
            }
        }
    }

    private *sendHeartbeats(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.heartbeatMs, signal));
            const unusedSinceMs = this.options.clock.readMonotonicMs()
                - (this.options.idleLinkTimeoutMs ?? defaultUnusedLinkMs);
            const oldestMs = this.options.clock.readMonotonicMs() - this.options.linkTimeoutMs;
            for (const link of [...this.links.values()]) {
                if (link.lastReceivedMs < oldestMs) {
                    link.close();
                    this.dropLink(link);
                    continue;
                }
                if (link.isOnDemand && link.lastCallMs < unusedSinceMs) {
                    this.closeUnused(link);
                    continue;
                }
                this.sendHeartbeat(link);
            }
        }
    }

    /** Closes a link that was made for a call; at a large size idle links would cost more than the calls. */
    private closeUnused(link: PeerLink): void {
        link.isClosing = true;
        link.send({ kind: "goodbye" });
        link.closeAfterFlush();
        this.dropLink(link);
    }

    private sendHeartbeat(link: PeerLink): void {
        link.send({
            kind: "heartbeat",
            time: this.options.events.hybridClock.tick(),
            revision: this.options.readRevision(),
            digest: this.options.gossip.digest,
        });
    }

    private dropLink(link: PeerLink | undefined): void {
        if (!link || this.links.get(link.nodeId) !== link) {
            return;
        }
        this.links.delete(link.nodeId);
        if (link.isClosing) {
            return;
        }
        link.close();
        this.options.events.emit(eventKinds.peerLost, { peer: link.nodeId });
        this.lossListeners.forEach(listener => listener(link.nodeId));
    }
}

/** Name of the peer network service. */
export const peerNetworkName = createServiceName<PeerNetwork>("peer-network");
