import type { EventLog } from "../telemetry/EventLog";
import type { GossipReplicator } from "./GossipReplicator";
import type { GossipEntry, Heartbeat, PeerMessage } from "./peerMessageSchema";
import type { PeerLink } from "./PeerLink";

/** Handles a call of a member and returns the payload of the reply. */
export type PeerHandler = (payload: unknown, fromNode: string) => Promise<unknown>;

/** Called for each heartbeat of a member. */
export type HeartbeatListener = (nodeId: string, heartbeat: Heartbeat) => void;

/** Called for each report of a member on one topic. */
export type ReportListener = (nodeId: string, payload: unknown) => void;

/** Options of {@link PeerMessageRouter}. */
export interface PeerMessageRouterOptions {
    readonly events: EventLog;
    readonly replicator: GossipReplicator;
}

/** Dispatches the messages of members to their handlers and listeners. */
export class PeerMessageRouter {
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly heartbeatListeners: HeartbeatListener[] = [];
    private readonly reportListeners = new Map<string, ReportListener>();

    constructor(private readonly options: PeerMessageRouterOptions) {}

    /** Registers the handler of a method; replaces an earlier one. */
    registerHandler(method: string, handler: PeerHandler): void {
        this.handlers.set(method, handler);
    }

    /** Registers the listener for the reports on a topic; replaces an earlier one. */
    onReport(topic: string, listener: ReportListener): void {
        this.reportListeners.set(topic, listener);
    }

    /** Adds a listener for heartbeats. */
    onHeartbeat(listener: HeartbeatListener): void {
        this.heartbeatListeners.push(listener);
    }

    /**
     * Dispatches one message.
     *
     * @param link - the link on which it arrived
     * @param message - the message
     */
    route(link: PeerLink, message: PeerMessage): void {
        const { events, replicator } = this.options;
        switch (message.kind) {
            case "heartbeat":
                events.hybridClock.merge(message.time);
                this.heartbeatListeners.forEach(listener => listener(link.nodeId, message));
                replicator.compareDigest(link, message.digest);
                break;
            case "gossip":
                replicator.merge(message.entries as GossipEntry[], link.nodeId);
                break;
            case "call":
                link.lastCallMs = link.lastReceivedMs;
                void this.answerCall(link, message.callId, message.method, message.payload);
                break;
            case "report":
                this.reportListeners.get(message.topic)?.(link.nodeId, message.payload);
                break;
            case "reply":
                link.settleCall(message.callId, message.ok, message.payload);
                break;
            case "goodbye":
                link.isClosing = true;
                break;
        }
    }

    private async answerCall(
        link: PeerLink,
        callId: number,
        method: string,
        payload: unknown,
    ): Promise<void> {
        const handler = this.handlers.get(method);
        try {
            if (!handler) {
                throw new Error(`method "${method}" does not exist`);
            }
            const reply = await handler(payload, link.nodeId);
            link.send({ kind: "reply", callId, ok: true, payload: reply });
        }
        catch (error) {
            link.send({ kind: "reply", callId, ok: false, payload: (error as Error).message });
        }
    }
}
