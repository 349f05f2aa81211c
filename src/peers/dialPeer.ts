import { abortReason } from "../_lib/abortReason";
import { WebSocket } from "ws";
import type { Clock } from "../kernel/types";
import { FrameQueue } from "./FrameQueue";
import { PeerError } from "./PeerError";

/** Options of {@link dialPeer}. */
export interface DialPeerOptions {
    readonly url: string;
    readonly timeoutMs: number;
    readonly maxFrameBytes: number;
    readonly clock: Clock;
}

/** An open connection whose frames are collected from the first one on. */
export interface PeerConnection {
    readonly socket: WebSocket;
    readonly queue: FrameQueue;
}

/**
 * Opens a web socket to a member.
 *
 * @param options - address, time limit and frame limit
 * @returns the open socket and its frames; the first may arrive together with the opening
 * @throws PeerError when it does not open in time
 */
export const dialPeer = (options: DialPeerOptions): Promise<PeerConnection> => {
    const socket = new WebSocket(options.url, {
        maxPayload: options.maxFrameBytes,
        perMessageDeflate: false,
    });
    const queue = new FrameQueue(socket);
    const stopTimer = new AbortController();
    return new Promise<PeerConnection>((resolve, reject) => {
        socket.on("open", () => resolve({ socket, queue }));
        socket.on("error", error => reject(new PeerError(`${options.url}: ${error.message}`, "unreachable")));
        void options.clock.sleep(options.timeoutMs, stopTimer.signal).then(() => {
            if (socket.readyState === WebSocket.CONNECTING) {
                socket.terminate();
                reject(new PeerError(`${options.url}: no connection in time`, "unreachable"));
            }
        });
    }).finally(() => stopTimer.abort(abortReason));
};
