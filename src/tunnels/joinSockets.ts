import type { Socket } from "node:net";
import { isResetSocket } from "../upstreams/isResetSocket";
import { TunnelFrameEncoder } from "./TunnelFrameEncoder";
import { TunnelRequestDecoder } from "./TunnelRequestDecoder";

/** Options of {@link joinSockets}. */
export interface JoinSocketsOptions {
    /** Connection to the node that asked for the tunnel. */
    readonly near: Socket;
    /** Connection to the upstream. */
    readonly far: Socket;
    /** Whether bytes are passed to the near one in frames, which mark a regular end of the far one. */
    readonly isFramed: boolean;
    /** Whether the upstream may get a request that begins now; undefined if the near side does not mark requests. */
    readonly isAccepting?: (() => boolean) | undefined;
    /** Called whenever bytes are passed on. */
    readonly onBytes: () => void;
}

/**
 * Passes bytes on between two connections. A regular end of the far one ends the near one regularly, a reset of either
 * resets the other; whatever else ends the near one closes the far one. The near one is reset at a request that the upstream
 * is not to get any more.
 *
 * @param options - both connections, and how bytes are passed on
 */
export const joinSockets = (options: JoinSocketsOptions): void => {
    const { near, far, isFramed, isAccepting, onBytes } = options;
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.on("error", () => far.resetAndDestroy());
    near.on("end", () => near.destroy());
    near.on("close", () => far.destroy());
    far.on("error", () => near.resetAndDestroy());
    far.on("end", () => {
        if (isResetSocket(far)) {
            near.resetAndDestroy();
        }
    });
    near.on("data", onBytes);
    far.on("data", onBytes);
    const sent = isAccepting ? near.pipe(new TunnelRequestDecoder(isAccepting)) : near;
    sent.on("error", () => near.resetAndDestroy());
    sent.pipe(far, { end: false });
    const received = isFramed ? far.pipe(new TunnelFrameEncoder()) : far;
    received.pipe(near);
};
