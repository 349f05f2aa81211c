import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { processInput } from "../http/InputScheduler";
import { createResetMarkingConnector } from "./createResetMarkingConnector";

/** The call that has begun on a connection and has not ended. */
export interface TrackedCall {
    /** Called when the bytes of the connection have ended, before undici learns of it. */
    readonly onEnd: () => void;
    /** Called with the number of bytes that are read next; may give up the connection. */
    readonly onInput: (bytes: number) => void;
}

/** Holds the current socket of a client with at most one connection. */
export interface TrackedSocket {
    socket: Socket | undefined;
    /** Whether the socket was opened to the process that is listed. */
    isConfirmed: boolean;
    /** Number of calls that have begun on this socket and earlier ones. */
    callCount: number;
    /** The call that is open on the socket; undefined if there is none, or one that is not tracked. */
    call?: TrackedCall | undefined;
    /** Whether no call is open on the socket, tracked or not; what arrives then is read at once. */
    isIdle?: boolean;
}

/**
 * Creates a connector that stores its socket and marks resets, as {@link createResetMarkingConnector} does. The input of the
 * socket is read in slices (see {@link processInput}).
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
            const socket = outcome[1] ?? undefined;
            tracked.socket = socket;
            tracked.isConfirmed = isListingCurrent();
            if (socket) {
                socket.prependListener("end", () => tracked.call?.onEnd());
                processInput.add(socket, {
                    onInput: bytes => {
                        tracked.call?.onInput(bytes);
                        if (tracked.isIdle) {
                            socket.destroy(); // nobody asked for them, and empty lines would be read without end
                        }
                    },
                    isUrgent: () => tracked.isIdle === true,
                });
            }
            callback(...outcome);
        });
};
