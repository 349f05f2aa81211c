import { createHmac } from "node:crypto";

/** Options of {@link computeHandshakeProof}. */
export interface ComputeHandshakeProofOptions {
    readonly clusterKey: string;
    /** Which side of the link proves; keeps a proof from being reflected. */
    readonly side: "dialer" | "acceptor";
    /** Name of the proving node. */
    readonly nodeId: string;
    /** Nonce that the other side sent. */
    readonly nonce: string;
}

/**
 * Computes the proof that a node knows the cluster key.
 *
 * @param options - key, side, name and nonce
 * @returns HMAC-SHA-256 as 64 hexadecimal digits
 */
export const computeHandshakeProof = (options: ComputeHandshakeProofOptions): string =>
    createHmac("sha256", options.clusterKey)
        .update(`${options.side}\n${options.nodeId}\n${options.nonce}`)
        .digest("hex");
