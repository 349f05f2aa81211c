import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { WebSocketServer } from "ws";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import { eventKinds } from "../telemetry/eventKinds";
import { dialPeer, type PeerConnection } from "./dialPeer";
import { encodeFrame } from "./encodeFrame";
import { FrameQueue } from "./FrameQueue";
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
import { LinkKeeper } from "./LinkKeeper";
import { LinkProber } from "./LinkProber";
import { type LinkPlan, planLinks } from "./planLinks";
import type { PeerAddress, PeerNetworkOptions } from "./types";

const upgradeRequiredStatus = 426;
const defaultIdleLinkTimeoutMs = 30_000;
const maxInvalidFrames = 3; // a link with more invalid frames is closed

interface ServeOptions {
    /** Node that was dialled. */
    readonly expectedId?: string;
    /** Called when the link is up, if it is closed when idle. */
    readonly onDemandLinked?: () => void;
}

/** Authenticated links to other members, with heartbeats, calls, reports and the replication of the gossip map. */
export class PeerNetwork {
    readonly counters: LinkCounters = {
        messagesSent: 0,
        bytesSent: 0,
        messagesReceived: 0,
        bytesReceived: 0,
        bytesSentByKind: new Map(),
    };
    private readonly links = new Map<string, PeerLink>();
    private readonly keeper: LinkKeeper;
    private readonly prober: LinkProber;
    /** Members that are presumed to be reachable, without this node. */
    private members: ReadonlyMap<string, PeerAddress> = new Map();
    private addresses: ReadonlyMap<string, PeerAddress> = new Map();
    private recorded: ReadonlyMap<string, PeerAddress> = new Map();
    private readonly scope: TaskScope;
    private server: WebSocketServer | undefined;
    private readonly httpServer: Server = createServer((_request, response) => {
        response.writeHead(upgradeRequiredStatus, { connection: "close" }).end(); // also ends an endless request
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
        this.keeper = new LinkKeeper({
            ...options,
            scope: this.scope,
            waitForLinkEnd: nodeId => this.links.get(nodeId)?.ended,
            dialAndServe: (nodeId, signal) => this.dialAndServe(nodeId, signal),
            onUnreachable: nodeId => this.linkLostListeners.forEach(listener => listener(nodeId)),
            onDropped: nodeId => this.announceClose(this.links.get(nodeId)),
        });
        this.prober = new LinkProber({
            ...options,
            scope: this.scope,
            isIsolated: () => this.links.size === 0,
            countMembers: () => this.members.size,
            isMember: nodeId => this.members.has(nodeId),
            planTargets: added =>
                planLinks({ self: options, others: [...this.members.values(), ...added] }).dialTargets,
            tryLink: nodeId => this.tryLink(nodeId),
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
        this.scope.run("probes", signal => this.prober.run(signal));
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
        this.sendReport([nodeId], topic, payload);
    }

    /** Sends one report to several members, as {@link sendReportTo} does. */
    sendReport(nodeIds: readonly string[], topic: string, payload: unknown): void {
        const links = nodeIds.flatMap(nodeId => this.links.get(nodeId) ?? []);
        if (links.length > 0) {
            const frame = encodeFrame({ kind: "report", topic, payload });
            links.forEach(link => link.sendEncoded(frame, topic));
        }
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
     * Sets the members, and keeps the links that {@link planLinks} assigns to this node.
     *
     * @param members - the nodes that are presumed to be reachable; may include this node
     * @param gone - other nodes, dialled in turn since they may be reachable again
     */
    setMembers(members: readonly PeerAddress[], gone: readonly PeerAddress[] = []): void {
        const others = members.filter(member => member.nodeId !== this.options.nodeId);
        this.members = collectByNodeId(others);
        this.addresses = collectByNodeId([...gone, ...others]);
        this.linkPlan = planLinks({ self: this.options, others });
        const targets = new Set(this.linkPlan.dialTargets);
        [...targets].flatMap(nodeId => this.links.get(nodeId) ?? []).forEach(link => {
            link.isOnDemand = false;
        });
        this.keeper.setTargets(targets);
        this.prober.setGone(gone.map(({ nodeId }) => nodeId));
    }

    /** Sets the nodes of which there is a record; those that are no members are dialled in turn, as they may not exist. */
    setRecorded(recorded: readonly PeerAddress[]): void {
        const others = recorded.filter(({ nodeId }) => nodeId !== this.options.nodeId);
        const renewed = others.filter(record => isRenewed(this.recorded.get(record.nodeId), record));
        this.recorded = collectByNodeId(others);
        this.prober.setRecorded(this.recorded, renewed.map(({ nodeId }) => nodeId));
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
        const connection = await this.dial(nodeId, timeoutMs);
        const linked = new Promise<void>(resolve => {
            const options = { expectedId: nodeId, onDemandLinked: resolve };
            const { done } = this.scope.run(
                `peer-${nodeId}`,
                signal => this.serveConnection(connection, "dialer", signal, options),
            );
            done.then(() => resolve(), () => resolve());
        });
        await waitWithTimeout({ clock: this.options.clock, promises: [linked], timeoutMs });
        const link = this.links.get(nodeId);
        if (!link) {
            throw new PeerError(
                `member "${nodeId}" did not complete the handshake, or not within ${timeoutMs} ms`,
                "unreachable",
            );
        }
        return link;
    }

    /** Makes a link to a node if there is none; returns whether it is up. */
    private async tryLink(nodeId: string): Promise<boolean> {
        try {
            return this.links.has(nodeId) || Boolean(await this.openLink(nodeId, this.options.linkTimeoutMs));
        }
        catch (error) {
            if (!(error instanceof PeerError)) {
                throw error;
            }
            return false;
        }
    }

    /** Dials a node and serves the link until it ends. */
    private *dialAndServe(nodeId: string, signal: AbortSignal): Task<void> {
        const connection = yield* waitFor(this.dial(nodeId, this.options.linkTimeoutMs));
        yield* this.serveConnection(connection, "dialer", signal, { expectedId: nodeId });
    }

    private async dial(nodeId: string, timeoutMs: number): Promise<PeerConnection> {
        const url = (this.addresses.get(nodeId) ?? this.recorded.get(nodeId))?.url;
        if (!url) {
            throw new PeerError(`the address of member "${nodeId}" is not known`, "unreachable");
        }
        return dialPeer({ ...this.options, url, timeoutMs });
    }

    /** Serves one connection from its handshake to its end. */
    private *serveConnection(
        connection: PeerConnection,
        side: "dialer" | "acceptor",
        signal: AbortSignal,
        { expectedId, onDemandLinked }: ServeOptions = {},
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
                // An address may be that of another node; a link to that one stays as it is.
                isAccepted: peerId =>
                    expectedId === undefined || peerId === expectedId || !this.links.has(peerId),
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
    private announceClose(link: PeerLink | undefined): void {
        if (link) {
            link.isClosing = true;
            link.send({ kind: "goodbye" });
        }
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

/** Whether a record was written again; one that is read anew is another object. */
const isRenewed = (known: PeerAddress | undefined, record: PeerAddress): boolean =>
    known !== undefined && known !== record;

const collectByNodeId = (nodes: readonly PeerAddress[]): Map<string, PeerAddress> =>
    new Map(nodes.map(node => [node.nodeId, node]));

/** Name of the peer network service. */
export const peerNetworkName = createServiceName<PeerNetwork>("peer-network");
