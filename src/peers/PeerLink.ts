import { abortReason } from "../_lib/abortReason";
import type { WebSocket } from "ws";
import type { Clock } from "../kernel/types";
import type { PeerMessage } from "./peerMessageSchema";
import { encodeFrame } from "./encodeFrame";
import { PeerError } from "./PeerError";

interface PendingCall {
    readonly resolve: (payload: unknown) => void;
    readonly reject: (error: PeerError) => void;
}

/** Traffic counters. */
export interface LinkCounters {
    messagesSent: number;
    bytesSent: number;
    messagesReceived: number;
    bytesReceived: number;
    /** Bytes sent, by the name of the message's kind: the topic of reports, the method of calls. */
    readonly bytesSentByKind: Map<string, number>;
}

/** Limit of the frames that a link sends. */
export interface FrameLimit {
    /** Size above which the member would close the link, in bytes. */
    readonly maxFrameBytes: number;
    /** Called with the size of each frame that is dropped since it is larger. */
    readonly onOversized: (bytes: number) => void;
}

const maxUnsentFrames = 4; // of the largest size; a member that sends but does not read is disconnected

/** An authenticated link to one member. */
export class PeerLink {
    private readonly pending = new Map<number, PendingCall>();
    private nextCallId = 1;
    /** Monotonic time of the last frame received, in milliseconds. */
    lastReceivedMs: number;
    /** Monotonic time of the last frame sent, in milliseconds. */
    lastSentMs = -Infinity;
    /** Monotonic time of the last call in either direction, in milliseconds. */
    lastCallMs: number;
    /** Whether the two sides have compared their gossip maps. */
    isCompared = false;
    /** Whether either side is closing the link on purpose; its end then does not count as the loss of a member. */
    isClosing = false;
    /** Resolves when the connection has ended. */
    readonly ended: Promise<void>;

    constructor(
        readonly nodeId: string,
        private readonly socket: WebSocket,
        private readonly clock: Clock,
        private readonly counters: LinkCounters,
        /** Whether the link was opened for a call and is closed when idle. */
        public isOnDemand: boolean,
        private readonly frameLimit: FrameLimit,
    ) {
        this.lastReceivedMs = clock.readMonotonicMs();
        this.lastCallMs = this.lastReceivedMs;
        this.ended = new Promise(resolve => socket.once("close", () => resolve()));
    }

    /**
     * Sends a message; drops it if the socket is not open, or if the member would close the link for its size. Terminates
     * the socket if the member does not read what was sent before.
     */
    send(message: PeerMessage): void {
        if (this.socket.readyState === this.socket.OPEN) {
            this.sendEncoded(encodeFrame(message), describeKind(message));
        }
    }

    /**
     * Sends a message as {@link send} does.
     *
     * @param frame - the message, encoded
     * @param kind - name of its kind for the counters
     */
    sendEncoded(frame: Buffer, kind: string): void {
        if (this.socket.readyState !== this.socket.OPEN) {
            return;
        }
        if (frame.length > this.frameLimit.maxFrameBytes) {
            this.frameLimit.onOversized(frame.length);
            return;
        }
        if (this.socket.bufferedAmount > maxUnsentFrames * this.frameLimit.maxFrameBytes) {
            this.socket.terminate();
            return;
        }
        this.lastSentMs = this.clock.readMonotonicMs();
        this.counters.messagesSent += 1;
        this.counters.bytesSent += frame.length;
        this.counters.bytesSentByKind.set(
            kind,
            (this.counters.bytesSentByKind.get(kind) ?? 0) + frame.length,
        );
        this.socket.send(frame);
    }

    /**
     * Calls a method of the member.
     *
     * @param method - the method's name
     * @param payload - plain data
     * @param timeoutMs - time limit for the reply, in milliseconds
     * @returns the reply's payload
     * @throws PeerError when the link is lost, no reply arrives in time, or the member replies with an error
     */
    call(method: string, payload: unknown, timeoutMs: number): Promise<unknown> {
        this.lastCallMs = this.clock.readMonotonicMs();
        const callId = this.nextCallId;
        this.nextCallId += 1;
        const timer = new AbortController();
        return new Promise<unknown>((resolve, reject) => {
            this.pending.set(callId, { resolve, reject });
            this.send({ kind: "call", callId, method, payload });
            void this.clock.sleep(timeoutMs, timer.signal).then(() => {
                reject(
                    new PeerError(
                        `member "${this.nodeId}" did not reply to "${method}" within ${timeoutMs} ms`,
                        "timeout",
                    ),
                );
            });
        }).finally(() => {
            this.pending.delete(callId);
            timer.abort(abortReason);
        });
    }

    /** Settles the call that a reply belongs to. Replies to unknown calls or after the time-out are dropped. */
    settleCall(callId: number, ok: boolean, payload: unknown): void {
        const pending = this.pending.get(callId);
        if (!pending) {
            return;
        }
        if (ok) {
            pending.resolve(payload);
        }
        else {
            pending.reject(
                new PeerError(`member "${this.nodeId}" replied with an error: ${String(payload)}`, "refused"),
            );
        }
    }

    /** Closes the socket after the messages sent before have been transmitted. */
    closeAfterFlush(): void {
        this.socket.close();
    }

    /** Terminates the socket and rejects all pending calls. */
    close(): void {
        this.socket.terminate();
        for (const pending of this.pending.values()) {
            pending.reject(new PeerError(`link to member "${this.nodeId}" was lost`, "unreachable"));
        }
        this.pending.clear();
    }
}

/** Names what a message is about; the topics and methods are those of this program. */
const describeKind = (message: PeerMessage): string => {
    switch (message.kind) {
        case "report":
            return message.topic;
        case "call":
            return message.method;
        default:
            return message.kind;
    }
};
