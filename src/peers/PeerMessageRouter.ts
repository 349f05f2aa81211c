import type { EventLog } from "../telemetry/EventLog";
import type { GossipReplicator } from "./GossipReplicator";
import type { GossipEntry, Heartbeat, PeerMessage } from "./peerMessageSchema";
import type { PeerLink } from "./PeerLink";

/** Handles a call of a member; what it returns is the reply. */
export type PeerHandler = (payload: unknown, fromNode: string) => Promise<unknown>;

/** Learns of a member's heartbeats. */
export type HeartbeatListener = (nodeId: string, heartbeat: Heartbeat) => void;

/** Learns of a member's reports of one topic. */
export type ReportListener = (nodeId: string, payload: unknown) => void;

/** Options of {@link PeerMessageRouter}. */
export interface PeerMessageRouterOptions {
    readonly events: EventLog;
    readonly spreader: GossipReplicator;
}

/** Brings the messages of members to those that want them. */
export class PeerMessageRouter {
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly heartbeatListeners: HeartbeatListener[] = [];
    private readonly reportListeners = new Map<string, ReportListener>();

    constructor(private readonly options: PeerMessageRouterOptions) {}

    /** Registers the handler of a method. */
    handle(method: string, handler: PeerHandler): void {
        this.handlers.set(method, handler);
    }

    /** Registers the listener for the reports of a topic. */
    onReport(topic: string, listener: ReportListener): void {
        this.reportListeners.set(topic, listener);
    }

    /** Registers a listener for heartbeats. */
    onHeartbeat(listener: HeartbeatListener): void {
        this.heartbeatListeners.push(listener);
    }

    /**
     * Brings one message to its receiver.
     *
     * @param link - the link on which it came
     * @param message - the message
     */
    route(link: PeerLink, message: PeerMessage): void {
        const { events, spreader } = this.options;
        switch (message.kind) {
            case "heartbeat":
                events.hybridClock.merge(message.time);
                this.heartbeatListeners.forEach(listener => listener(link.nodeId, message));
                spreader.compareDigest(link, message.digest);
                break;
            case "gossip":
                spreader.merge(message.entries as GossipEntry[], link.nodeId);
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
