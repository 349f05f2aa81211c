import type { Socket } from "node:net";

/** A connection that tells its other end where requests begin. */
export interface RequestMarker {
    /** Marks the next bytes as the beginning of a request. */
    markRequest(): void;
}

/**
 * Marks the beginning of a request on connections that tell it.
 *
 * @param socket - the connection, to which the request is written next
 */
export const markRequest = (socket: Socket | undefined): void => {
    if (isMarker(socket)) {
        socket.markRequest();
    }
};

const isMarker = (socket: object | undefined): socket is RequestMarker =>
    socket !== undefined && "markRequest" in socket;
