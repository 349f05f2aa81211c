import type { Socket } from "node:net";

/**
 * Passes bytes on between two connections. A regular end of the far one ends the near one regularly, a reset resets it;
 * whatever ends the near one closes the far one.
 *
 * @param near - connection to the node that asked for the tunnel
 * @param far - connection to the upstream
 * @param onBytes - called whenever bytes are passed on
 */
export const joinSockets = (near: Socket, far: Socket, onBytes: () => void): void => {
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.on("error", () => far.destroy());
    near.on("end", () => near.destroy());
    near.on("close", () => far.destroy());
    far.on("error", () => near.resetAndDestroy());
    near.on("data", onBytes);
    far.on("data", onBytes);
    near.pipe(far, { end: false });
    far.pipe(near);
};
