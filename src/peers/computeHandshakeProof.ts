import { createHmac } from "node:crypto";

/** Options of {@link computeHandshakeProof}. */
export interface ComputeHandshakeProofOptions {
    readonly clusterKey: string;
    /** Side of the connection that sends the proof. Prevents reflection: a proof is not valid for the other side. */
    readonly side: "dialer" | "acceptor";
    /** Name of the node that sends the proof. */
    readonly nodeId: string;
    /** Nonce that the receiver of the proof has sent. */
    readonly nonce: string;
}

/**
 * Computes the proof with which a node shows in the handshake that it knows the cluster key.
 *
 * @param options - key, side, name and nonce
 * @returns HMAC-SHA-256 as 64 hexadecimal digits
 */
export const computeHandshakeProof = (options: ComputeHandshakeProofOptions): string =>
    createHmac("sha256", options.clusterKey)
        .update(`${options.side}\n${options.nodeId}\n${options.nonce}`)
        .digest("hex");
