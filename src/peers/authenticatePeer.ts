import type { WebSocket } from "ws";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import { computeHandshakeProof } from "./computeHandshakeProof";
import type { FrameQueue, ReceivedFrame } from "./FrameQueue";
import { helloSchema, proofSchema } from "./peerMessageSchema";
import { encodeFrame } from "./encodeFrame";
import { isSameProof } from "./isSameProof";

/** Options of {@link authenticatePeer}. */
export interface AuthenticatePeerOptions {
    readonly socket: WebSocket;
    readonly queue: FrameQueue;
    readonly side: "dialer" | "acceptor";
    readonly nodeId: string;
    readonly clusterKey: string;
    /** 32 random hexadecimal digits; must not be used twice. */
    readonly nonce: string;
    readonly timeoutMs: number;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Whether a link to the node that the peer says it is may be made; default: always true. */
    readonly isAccepted?: (nodeId: string) => boolean;
    /** Called when the peer proves that it knows another key. */
    readonly onWrongProof?: () => void;
}

/**
 * Performs the mutual handshake of a new connection: each side proves that it knows the cluster key by an HMAC over the
 * other side's nonce.
 *
 * @param options - the connection and this node's identity
 * @returns the peer's node name, or undefined when it sent no valid proof in time or is not accepted
 */
export function* authenticatePeer(options: AuthenticatePeerOptions): Task<string | undefined> {
    const { socket, nodeId, nonce, isAccepted = () => true } = options;
    socket.send(encodeFrame({ kind: "hello", nodeId, nonce }));
    const hello = helloSchema.safeParse(yield* takeWithTimeout(options));
    if (!hello.success || hello.data.nodeId === nodeId || !isAccepted(hello.data.nodeId)) {
        return undefined;
    }
    const ownProof = { clusterKey: options.clusterKey, side: options.side, nodeId, nonce: hello.data.nonce };
    socket.send(encodeFrame({ kind: "proof", mac: computeHandshakeProof(ownProof) }));
    const proof = proofSchema.safeParse(yield* takeWithTimeout(options));
    if (!proof.success) {
        return undefined;
    }
    const expected = computeHandshakeProof({
        clusterKey: options.clusterKey,
        side: options.side === "dialer" ? "acceptor" : "dialer",
        nodeId: hello.data.nodeId,
        nonce,
    });
    if (!isSameProof(expected, proof.data.mac)) {
        options.onWrongProof?.();
        return undefined;
    }
    return hello.data.nodeId;
}

function* takeWithTimeout(options: AuthenticatePeerOptions): Task<unknown> {
    const { clock, timeoutMs } = options;
    const promises: Promise<ReceivedFrame>[] = [options.queue.take()];
    const frame = yield* waitFor(waitWithTimeout({ clock, promises, timeoutMs }));
    return frame?.kind === "frame" ? frame.message : undefined;
}
