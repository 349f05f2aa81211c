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

/** Counts of what a link carried. */
export interface LinkCounters {
    messagesSent: number;
    bytesSent: number;
    messagesReceived: number;
    bytesReceived: number;
}

/** An authenticated link to one member. */
export class PeerLink {
    private readonly pending = new Map<number, PendingCall>();
    private nextCallId = 1;
    lastReceivedMs: number;
    /** Monotonic time of the last call in either direction, in milliseconds. */
    lastCallMs: number;
    /** Whether the end of the link is expected and no sign of a lost member. */
    isClosing = false;

    constructor(
        readonly nodeId: string,
        private readonly socket: WebSocket,
        private readonly clock: Clock,
        private readonly counters: LinkCounters,
        /** Whether the link was made for a call and is closed when it is not used. */
        readonly isOnDemand: boolean,
    ) {
        this.lastReceivedMs = clock.readMonotonicMs();
        this.lastCallMs = this.lastReceivedMs;
    }

    /** Sends a message; a closed socket drops it. */
    send(message: PeerMessage): void {
        if (this.socket.readyState !== this.socket.OPEN) {
            return;
        }
        const frame = encodeFrame(message);
        this.counters.messagesSent += 1;
        this.counters.bytesSent += frame.length;
        this.socket.send(frame);
    }

    /**
     * Calls a method of the member.
     *
     * @param method - the method's name
     * @param payload - plain data
     * @param timeoutMs - longest wait for the reply
     * @returns the reply's payload
     * @throws PeerError when the link is lost, the time is over or the member refuses
     */
    call(method: string, payload: unknown, timeoutMs: number): Promise<unknown> {
        this.lastCallMs = this.clock.readMonotonicMs();
        const callId = this.nextCallId;
        this.nextCallId += 1;
        const stopTimer = new AbortController();
        return new Promise<unknown>((resolve, reject) => {
            this.pending.set(callId, { resolve, reject });
            this.send({ kind: "call", callId, method, payload });
            void this.clock.sleep(timeoutMs, stopTimer.signal).then(() => {
                reject(
                    new PeerError(`member "${this.nodeId}" did not answer "${method}" in time`, "timeout"),
                );
            });
        }).finally(() => {
            this.pending.delete(callId);
            stopTimer.abort(abortReason);
        });
    }

    /** Settles the call that a reply belongs to; late and unknown replies are dropped. */
    settleCall(callId: number, ok: boolean, payload: unknown): void {
        const pending = this.pending.get(callId);
        if (!pending) {
            return;
        }
        if (ok) {
            pending.resolve(payload);
        }
        else {
            pending.reject(new PeerError(`member "${this.nodeId}" refused: ${String(payload)}`, "refused"));
        }
    }

    /** Closes the socket after what was sent has left. */
    closeAfterFlush(): void {
        this.socket.close();
    }

    /** Closes the socket and fails every open call. */
    close(): void {
        this.socket.terminate();
        for (const pending of this.pending.values()) {
            pending.reject(new PeerError(`link to member "${this.nodeId}" was lost`, "unreachable"));
        }
        this.pending.clear();
    }
}
