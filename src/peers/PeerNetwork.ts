import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { WebSocketServer } from "ws";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
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
import { LinkKeepalive } from "./LinkKeepalive";
import { type LinkPlan, planLinks } from "./planLinks";

/** Web-socket address of a node. */
export interface PeerAddress {
    readonly nodeId: string;
    readonly url: string;
    /** Data centre of the node; undefined in records of older versions. */
    readonly dataCentre?: string;
}

/** Options of {@link PeerNetwork}. */
export interface PeerNetworkOptions {
    readonly nodeId: string;
    readonly dataCentre?: string;
    /** Reads the secret that members prove to each other; it may change. */
    readonly readClusterKey: () => string;
    /** Called when a peer proves that it knows another secret. */
    readonly onWrongProof?: () => void;
    readonly host: string;
    readonly port: number;
    readonly heartbeatMs: number;
    /**
     * A link on which nothing has arrived for this long is closed. Also the time limit of dialling a member and of each
     * step of the handshake.
     */
    readonly linkTimeoutMs: number;
    readonly maxFrameBytes: number;
    /** A link that was opened for a call is closed when no call has used it for this long; default 30,000 ms. */
    readonly idleLinkTimeoutMs?: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    /** Reads the configuration revision that the heartbeats report. */
    readonly readRevision: () => number;
}

const upgradeRequiredStatus = 426;
const firstRedialMs = 100;
const maxRedialMs = 2_000;
const defaultIdleLinkTimeoutMs = 30_000;
const maxInvalidFrames = 3; // a link with more invalid frames is closed

/** Authenticated links to other members, with heartbeats, calls, reports and the replication of the gossip map. */
export class PeerNetwork {
    readonly counters: LinkCounters = {
        messagesSent: 0,
        bytesSent: 0,
        messagesReceived: 0,
        bytesReceived: 0,
    };
    private readonly links = new Map<string, PeerLink>();
    /** Cancels the dial task of each member that this node keeps a link to. */
    private readonly dialTasks = new Map<string, () => void>();
    private readonly addresses = new Map<string, string>();
    private readonly scope: TaskScope;
    private server: WebSocketServer | undefined;
    private readonly httpServer: Server = createServer((_request, response) => {
        response.writeHead(upgradeRequiredStatus).end();
    });
    private readonly linkUpListeners: ((nodeId: string) => void)[] = [];
    private readonly linkLostListeners: ((nodeId: string) => void)[] = [];
    private linkPlan: LinkPlan;
    private readonly replicator: GossipReplicator;
    private readonly router: PeerMessageRouter;
    private readonly keepalive: LinkKeepalive;

    constructor(private readonly options: PeerNetworkOptions) {
        this.scope = createLoggedTaskScope(options.events);
        this.linkPlan = planLinks({ self: options, others: [] });
        this.replicator = new GossipReplicator({
            nodeId: options.nodeId,
            gossip: options.gossip,
            events: options.events,
            listLinks: () => this.links.values(),
            readPlan: () => this.linkPlan,
            clock: options.clock,
        });
        this.keepalive = new LinkKeepalive({
            ...options,
            idleLinkTimeoutMs: options.idleLinkTimeoutMs ?? defaultIdleLinkTimeoutMs,
            listLinks: () => [...this.links.values()],
            sendHeartbeat: link => this.sendHeartbeat(link),
            onSilent: link => {
                link.close();
                this.removeLink(link);
            },
            onIdle: link => {
                this.announceClose(link);
                link.closeAfterFlush();
                this.removeLink(link);
            },
        });
        this.router = new PeerMessageRouter({ events: options.events, replicator: this.replicator });
        this.registerHandler(
            gossipExchangeMethod,
            async (payload, fromNode) => this.replicator.answerExchange(payload, fromNode),
        );
    }

    /** Port on which members connect; available after {@link start}. */
    get port(): number {
        return (this.httpServer.address() as AddressInfo).port;
    }

    /** Names of the members to which a link is up. */
    get linkedNodeIds(): readonly string[] {
        return [...this.links.keys()];
    }

    /** Which links this node keeps, and whether it passes messages on for others. */
    get plan(): LinkPlan {
        return this.linkPlan;
    }

    /** Starts the server for members, the heartbeats and the gossip. */
    async start(): Promise<void> {
        const { httpServer } = this;
        const server = new WebSocketServer({ server: httpServer, maxPayload: this.options.maxFrameBytes });
        this.server = server;
        server.on("connection", socket => {
            const connection = { socket, queue: new FrameQueue(socket) };
            this.scope.run("peer-accepted", signal => this.serveConnection(connection, "acceptor", signal));
        });
        await new Promise<void>((resolve, reject) => {
            server.once("listening", resolve);
            server.once("error", reject);
            httpServer.listen(this.options.port, this.options.host);
        });
        this.scope.run("heartbeats", signal => this.keepalive.run(signal));
        this.replicator.start();
    }

    /** Closes all links and the server. */
    async stop(): Promise<void> {
        this.replicator.flush();
        for (const link of this.links.values()) {
            link.close();
        }
        for (const client of this.server?.clients ?? []) {
            client.terminate();
        }
        await this.scope.cancel();
        await new Promise<void>(resolve => this.server ? this.server.close(() => resolve()) : resolve());
        this.httpServer.closeAllConnections();
        await new Promise<void>(resolve => this.httpServer.close(() => resolve()));
    }

    /** Registers the handler of a method; replaces an earlier one. */
    registerHandler(method: string, handler: PeerHandler): void {
        this.router.registerHandler(method, handler);
    }

    /** Registers the listener for members' requests for tunnels (HTTP CONNECT); they are not authenticated yet. */
    onTunnelRequest(listener: (request: IncomingMessage, socket: Socket) => void): void {
        this.httpServer.on("connect", listener);
    }

    /** Registers the listener for the reports on a topic; replaces an earlier one. */
    onReport(topic: string, listener: ReportListener): void {
        this.router.onReport(topic, listener);
    }

    /** Sends a report to a member if a link to it is up. Lost reports are not sent again. */
    sendReportTo(nodeId: string, topic: string, payload: unknown): void {
        this.links.get(nodeId)?.send({ kind: "report", topic, payload });
    }

    /** Adds a listener for heartbeats. */
    onHeartbeat(listener: HeartbeatListener): void {
        this.router.onHeartbeat(listener);
    }

    /** Adds a listener for new links. */
    onLinkUp(listener: (nodeId: string) => void): void {
        this.linkUpListeners.push(listener);
    }

    /** Adds a listener for lost links and failed attempts to dial. */
    onLinkLost(listener: (nodeId: string) => void): void {
        this.linkLostListeners.push(listener);
    }

    /**
     * Sets the nodes that may be dialled, and keeps the links that {@link planLinks} assigns to this node.
     *
     * @param members - the nodes that are presumed to be reachable; may include this node
     * @param probed - nodes that are dialled besides, since they may be reachable again
     */
    setMembers(members: readonly PeerAddress[], probed: readonly PeerAddress[] = []): void {
        this.addresses.clear();
        [...members, ...probed].forEach(member => this.addresses.set(member.nodeId, member.url));
        const others = members.filter(member => member.nodeId !== this.options.nodeId);
        this.linkPlan = planLinks({ self: this.options, others });
        const targets = new Set([...this.linkPlan.dialTargets, ...probed.map(member => member.nodeId)]);
        for (const [nodeId, cancel] of this.dialTasks) {
            if (!targets.has(nodeId)) {
                const link = this.links.get(nodeId);
                if (link) {
                    this.announceClose(link);
                }
                cancel();
                this.dialTasks.delete(nodeId);
            }
        }
        for (const nodeId of targets) {
            if (!this.dialTasks.has(nodeId)) {
                const handle = this.scope.run(`peer-${nodeId}`, signal => this.keepLink(nodeId, signal));
                this.dialTasks.set(nodeId, () => handle.cancel());
            }
        }
    }

    /**
     * Calls a method of a member. If there is no link to the member, one is opened for the call.
     *
     * @param nodeId - the member
     * @param method - the method's name
     * @param payload - plain data
     * @param timeoutMs - time limit of dialling, of the handshake and of the reply each, in milliseconds
     * @returns the reply's payload
     * @throws PeerError when the member cannot be reached, does not reply in time, or replies with an error
     */
    async call(nodeId: string, method: string, payload: unknown, timeoutMs: number): Promise<unknown> {
        const link = this.links.get(nodeId) ?? await this.openLink(nodeId, timeoutMs);
        return link.call(method, payload, timeoutMs);
    }

    private async openLink(nodeId: string, timeoutMs: number): Promise<PeerLink> {
        const url = this.addresses.get(nodeId);
        if (!url) {
            throw new PeerError(`the address of member "${nodeId}" is not known`, "unreachable");
        }
        const { clock, maxFrameBytes } = this.options;
        const connection = await dialPeer({ url, timeoutMs, maxFrameBytes, clock });
        const linked = new Promise<void>(resolve => {
            const { done } = this.scope.run(
                `peer-${nodeId}`,
                signal => this.serveConnection(connection, "dialer", signal, resolve),
            );
            done.then(() => resolve(), () => resolve());
        });
        await waitWithTimeout({ clock, promises: [linked], timeoutMs });
        const link = this.links.get(nodeId);
        if (!link) {
            throw new PeerError(
                `member "${nodeId}" did not complete the handshake, or not within ${timeoutMs} ms`,
                "unreachable",
            );
        }
        return link;
    }

    /** Keeps a link to a member: dials it with exponential back-off and jitter whenever there is no link. */
    private *keepLink(nodeId: string, signal: AbortSignal): Task<void> {
        let delayMs = firstRedialMs;
        while (!signal.aborted) {
            const startedMs = this.options.clock.readMonotonicMs();
            const url = this.addresses.get(nodeId);
            if (url && !this.links.has(nodeId)) {
                try {
                    const connection = yield* waitFor(dialPeer({
                        url,
                        timeoutMs: this.options.linkTimeoutMs,
                        maxFrameBytes: this.options.maxFrameBytes,
                        clock: this.options.clock,
                    }));
                    yield* this.serveConnection(connection, "dialer", signal);
                }
                catch (error) {
                    if (!(error instanceof PeerError)) {
                        throw error;
                    }
                    this.linkLostListeners.forEach(listener => listener(nodeId));
                }
            }
            const lastedMs = this.options.clock.readMonotonicMs() - startedMs;
            delayMs = lastedMs > maxRedialMs ? firstRedialMs : Math.min(maxRedialMs, delayMs * 2);
            const jitter = 0.5 + this.options.random.drawFloat() / 2;
            yield* waitFor(this.options.clock.sleep(delayMs * jitter, signal));
        }
    }

    /** Serves one connection from its handshake to its end. A link is closed when idle if a callback for it is given. */
    private *serveConnection(
        connection: PeerConnection,
        side: "dialer" | "acceptor",
        signal: AbortSignal,
        onDemandLinked?: () => void,
    ): Task<void> {
        const { socket, queue } = connection;
        let link: PeerLink | undefined;
        try {
            const peerId = yield* authenticatePeer({
                socket,
                queue,
                side,
                nodeId: this.options.nodeId,
                clusterKey: this.options.readClusterKey(),
                nonce: this.options.random.drawId(16),
                timeoutMs: this.options.linkTimeoutMs,
                clock: this.options.clock,
                signal,
                onWrongProof: this.options.onWrongProof,
            });
            if (!peerId) {
                this.options.events.emit(eventKinds.peerRejected, { reason: "handshake failed", side });
                return;
            }
            link = new PeerLink(
                peerId,
                socket,
                this.options.clock,
                this.counters,
                onDemandLinked !== undefined,
                {
                    maxFrameBytes: this.options.maxFrameBytes,
                    onOversized: bytes =>
                        this.options.events.emit(eventKinds.peerRejected, {
                            reason: "frame is too large to be sent",
                            peer: peerId,
                            bytes,
                        }),
                },
            );
            this.links.get(peerId)?.close();
            this.links.set(peerId, link);
            this.options.events.emit(eventKinds.peerConnected, { peer: peerId, side });
            this.linkUpListeners.forEach(listener => listener(peerId));
            this.sendHeartbeat(link);
            onDemandLinked?.();
            yield* this.receiveFrames(link, queue, signal);
        }
        finally {
            socket.terminate();
            this.removeLink(link);
        }
    }

    private *receiveFrames(link: PeerLink, queue: FrameQueue, signal: AbortSignal): Task<void> {
        let invalidFrames = 0;
        while (!signal.aborted) {
            const frame = yield* waitFor(queue.take());
            if (frame.kind === "closed") {
                return;
            }
            link.lastReceivedMs = this.options.clock.readMonotonicMs();
            const parsed = frame.kind === "frame" ? peerMessageSchema.safeParse(frame.message) : undefined;
            if (!parsed?.success || frame.kind !== "frame") {
                invalidFrames += 1;
                this.options.events.emit(eventKinds.peerRejected, {
                    reason: "frame is not a valid message",
                    peer: link.nodeId,
                });
                if (invalidFrames > maxInvalidFrames) {
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

    /** Announces that a link will be closed on purpose, so that neither side treats its end as the loss of a member. */
    private announceClose(link: PeerLink): void {
        link.isClosing = true;
        link.send({ kind: "goodbye" });
    }

    private sendHeartbeat(link: PeerLink): void {
        link.send({
            kind: "heartbeat",
            time: this.options.events.hybridClock.tick(),
            revision: this.options.readRevision(),
            digest: this.options.gossip.digest,
        });
    }

    /** Removes a link, unless a newer one has replaced it, and reports its loss, unless its end was expected. */
    private removeLink(link: PeerLink | undefined): void {
        if (!link || this.links.get(link.nodeId) !== link) {
            return;
        }
        this.links.delete(link.nodeId);
        if (link.isClosing) {
            return;
        }
        link.close();
        this.options.events.emit(eventKinds.peerLost, { peer: link.nodeId });
        this.linkLostListeners.forEach(listener => listener(link.nodeId));
    }
}

/** Name of the peer network service. */
export const peerNetworkName = createServiceName<PeerNetwork>("peer-network");
