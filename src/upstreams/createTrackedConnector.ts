import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** The connection of a client that has one connection at most. */
export interface TrackedSocket {
    socket: Socket | undefined;
}

const resetCode = "ECONNRESET";
const trackedResetCode = "UPSTREAM_RESET";

/**
 * Creates a connector that remembers its socket, marks a reset so that the library does not take it for an orderly end,
 * and gives an attempt up after exactly its time; the library's own timeout is coarse by up to a second.
 *
 * @param tracked - where the socket is remembered
 * @param timeoutMs - longest wait for a connection, in milliseconds
 * @param connect - makes the connection; default: the library's connector without a timeout
 * @returns the connector
 */
export const createTrackedConnector = (
    tracked: TrackedSocket,
    timeoutMs: number,
    connect: buildConnector.connector = buildConnector({ timeout: 0 }),
): buildConnector.connector =>
(options, callback) => {
    const attempt = connect(options, (...outcome) => {
        clearTimeout(timer);
        tracked.socket = outcome[1] ?? undefined;
        tracked.socket?.prependListener("error", markReset);
        callback(...outcome);
    }) as unknown as Socket;
    const timer = setTimeout(
        () => attempt.destroy(new Error(`no connection within ${timeoutMs} ms`)),
        timeoutMs,
    );
    return attempt;
};

/** Gives a reset a code that the library does not take for an orderly end. */
const markReset = (error: NodeJS.ErrnoException): void => {
    error.code = error.code === resetCode ? trackedResetCode : error.code;
};
