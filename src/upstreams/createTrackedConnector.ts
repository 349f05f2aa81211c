import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { createResetMarkingConnector } from "./createResetMarkingConnector";

/** Holds the current socket of a client with at most one connection. */
export interface TrackedSocket {
    socket: Socket | undefined;
}

/**
 * Creates a connector that stores its socket and marks resets, as {@link createResetMarkingConnector} does.
 *
 * @param tracked - receives the socket; undefined after a failed attempt
 * @param connect - opens the connection
 * @returns the connector
 */
export const createTrackedConnector = (
    tracked: TrackedSocket,
    connect: buildConnector.connector,
): buildConnector.connector => {
    const connectMarked = createResetMarkingConnector(connect);
    return (options, callback) =>
        connectMarked(options, (...outcome) => {
            tracked.socket = outcome[1] ?? undefined;
            callback(...outcome);
        });
};
