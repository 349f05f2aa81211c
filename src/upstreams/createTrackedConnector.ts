import type { Socket } from "node:net";
import type { buildConnector } from "undici";

/** Holds the current socket of a client with at most one connection. */
export interface TrackedSocket {
    socket: Socket | undefined;
}

const resetCode = "ECONNRESET";
const trackedResetCode = "UPSTREAM_RESET";

/**
 * Creates a connector that stores its socket and changes the code of reset errors, since undici treats a reset as the
 * regular end of an answer.
 *
 * @param tracked - receives the socket; undefined after a failed attempt
 * @param connect - opens the connection
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

/** Replaces the code of a reset error by one that undici does not treat as the regular end of an answer. */
const markReset = (error: NodeJS.ErrnoException): void => {
    error.code = error.code === resetCode ? trackedResetCode : error.code;
};
