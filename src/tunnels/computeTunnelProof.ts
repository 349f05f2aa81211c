import { createHmac } from "node:crypto";

/** Options of {@link computeTunnelProof}. */
export interface ComputeTunnelProofOptions {
    readonly clusterKey: string;
    /** Name of the node that is asked for the tunnel. */
    readonly nodeId: string;
    /** Host and port of the upstream. */
    readonly target: string;
}

/**
 * Computes the proof with which a node shows that it may ask another one for a tunnel to an upstream.
 *
 * @param options - key, name of the asked node, and upstream
 * @returns HMAC-SHA-256 as 64 hexadecimal digits
 */
export const computeTunnelProof = ({ clusterKey, nodeId, target }: ComputeTunnelProofOptions): string =>
    createHmac("sha256", clusterKey).update(`tunnel\n${nodeId}\n${target}`).digest("hex");
