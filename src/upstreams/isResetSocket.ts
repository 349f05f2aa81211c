import type { Socket } from "node:net";

/**
 * Returns whether a connection whose bytes have ended was reset in place of closed. One that is reset after the end of its
 * bytes was read has no error, but no longer a remote address.
 *
 * @param socket - the connection; undefined if it was never opened
 * @returns whether it was reset
 */
export const isResetSocket = (
    socket: Pick<Socket, "errored" | "remoteAddress"> | undefined,
): boolean => socket === undefined || socket.errored !== null || socket.remoteAddress === undefined;
