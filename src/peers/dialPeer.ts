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

/** An open web socket and the queue of its frames, which holds every frame since the first. */
export interface PeerConnection {
    readonly socket: WebSocket;
    readonly queue: FrameQueue;
}

/**
 * Opens a web socket to a member.
 *
 * @param options - address, time limit and frame limit
 * @returns the open socket and its frame queue; the queue is attached before the socket opens, as the first frame may
 * arrive together with the opening
 * @throws PeerError when the socket cannot be opened within the time limit
 */
export const dialPeer = (options: DialPeerOptions): Promise<PeerConnection> => {
    const socket = openSocket(options);
    const queue = new FrameQueue(socket);
    const timer = new AbortController();
    return new Promise<PeerConnection>((resolve, reject) => {
        socket.on("open", () => resolve({ socket, queue }));
        socket.on("error", error => reject(new PeerError(`${options.url}: ${error.message}`, "unreachable")));
        void options.clock.sleep(options.timeoutMs, timer.signal).then(() => {
            if (socket.readyState === WebSocket.CONNECTING) {
                socket.terminate();
                reject(
                    new PeerError(
                        `${options.url}: no connection within ${options.timeoutMs} ms`,
                        "unreachable",
                    ),
                );
            }
        });
    }).finally(() => timer.abort(abortReason));
};

/** Begins to open a socket. The constructor throws for a URL that none can be opened to. */
const openSocket = ({ url, maxFrameBytes }: DialPeerOptions): WebSocket => {
    try {
        return new WebSocket(url, { maxPayload: maxFrameBytes, perMessageDeflate: false });
    }
    catch (error) {
        throw new PeerError(`${url}: ${(error as Error).message}`, "unreachable");
    }
};
