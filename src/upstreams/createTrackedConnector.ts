import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { createResetMarkingConnector } from "./createResetMarkingConnector";

/** Holds the current socket of a client with at most one connection. */
export interface TrackedSocket {
    socket: Socket | undefined;
    /** Whether the socket was opened to the process that is listed. */
    isConfirmed: boolean;
    /** Number of calls that have begun on this socket and earlier ones. */
    callCount: number;
    /** Called when the bytes of the socket have ended, before undici learns of it. */
    onEnd?: (() => void) | undefined;
}

/**
 * Creates a connector that stores its socket and marks resets, as {@link createResetMarkingConnector} does.
 *
 * @param tracked - receives the socket; undefined after a failed attempt
 * @param connect - opens the connection
 * @param isListingCurrent - whether a connection that is opened now leads to the process that is listed
 * @returns the connector
 */
export const createTrackedConnector = (
    tracked: TrackedSocket,
    connect: buildConnector.connector,
    isListingCurrent: () => boolean,
): buildConnector.connector => {
    const connectMarked = createResetMarkingConnector(connect);
    return (options, callback) =>
        connectMarked(options, (...outcome) => {
            tracked.socket = outcome[1] ?? undefined;
            tracked.isConfirmed = isListingCurrent();
            tracked.socket?.prependListener("end", () => tracked.onEnd?.());
            callback(...outcome);
        });
};
