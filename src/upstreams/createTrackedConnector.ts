import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** The connection of a client that has one connection at most. */
export interface TrackedSocket {
    socket: Socket | undefined;
}

const resetCode = "ECONNRESET";
const trackedResetCode = "UPSTREAM_RESET";

/**
 * Creates a connector that remembers its socket, and marks a reset so that the library does not take it for an orderly
 * end.
 *
 * @param tracked - where the socket is remembered
 * @param connect - makes the connection
 * @returns the connector
 */
export const createTrackedConnector = (
    tracked: TrackedSocket,
    connect: buildConnector.connector,
): buildConnector.connector =>
(options, callback) =>
    connect(options, (...outcome) => {
        tracked.socket = outcome[1] ?? undefined;
        tracked.socket?.prependListener("error", markReset);
        callback(...outcome);
    });

/** Gives a reset a code that the library does not take for an orderly end. */
const markReset = (error: NodeJS.ErrnoException): void => {
    error.code = error.code === resetCode ? trackedResetCode : error.code;
};
