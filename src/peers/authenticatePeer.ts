import { timingSafeEqual } from "node:crypto";
import type { WebSocket } from "ws";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { waitWithTimeout } from "../kernel/waitWithTimeout";
import { computeHandshakeProof } from "./computeHandshakeProof";
import type { FrameQueue, ReceivedFrame } from "./FrameQueue";
import { helloSchema, proofSchema } from "./peerMessageSchema";
import { encodeFrame } from "./encodeFrame";

/** Options of {@link authenticatePeer}. */
export interface AuthenticatePeerOptions {
    readonly socket: WebSocket;
    readonly queue: FrameQueue;
    readonly side: "dialer" | "acceptor";
    readonly nodeId: string;
    readonly clusterKey: string;
    /** 32 hexadecimal digits, never used before. */
    readonly nonce: string;
    readonly timeoutMs: number;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

/**
 * Makes both sides of a new connection prove that they know the cluster key.
 *
 * @param options - the connection and this side's identity
 * @returns the other side's name, or undefined when it proved nothing in time
 */
export function* authenticatePeer(options: AuthenticatePeerOptions): Task<string | undefined> {
    const { socket, nodeId, nonce } = options;
    socket.send(encodeFrame({ kind: "hello", nodeId, nonce }));
    const hello = helloSchema.safeParse(yield* takeInTime(options));
    if (!hello.success || hello.data.nodeId === nodeId) {
        return undefined;
    }
    const ownProof = { clusterKey: options.clusterKey, side: options.side, nodeId, nonce: hello.data.nonce };
    socket.send(encodeFrame({ kind: "proof", mac: computeHandshakeProof(ownProof) }));
    const proof = proofSchema.safeParse(yield* takeInTime(options));
    if (!proof.success) {
        return undefined;
    }
    const expected = computeHandshakeProof({
        clusterKey: options.clusterKey,
        side: options.side === "dialer" ? "acceptor" : "dialer",
        nodeId: hello.data.nodeId,
        nonce,
    });
    const matches = timingSafeEqual(
        Buffer.from(expected),
        Buffer.from(proof.data.mac.padEnd(64).slice(0, 64)),
    );
    return matches ? hello.data.nodeId : undefined;
}

function* takeInTime(options: AuthenticatePeerOptions): Task<unknown> {
    const { clock, timeoutMs } = options;
    const pending: Promise<ReceivedFrame>[] = [options.queue.take()];
    const frame = yield* waitFor(waitWithTimeout({ clock, promises: pending, timeoutMs }));
    return frame?.kind === "frame" ? frame.message : undefined;
}
