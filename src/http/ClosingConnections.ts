import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Closes connections after the last response that is open on them. A response that announces the close says that no request
 * after its own was handled.
 */
export class ClosingConnections {
    /** The response after which a connection is closed, as its head says. */
    private readonly last = new WeakMap<Socket, ServerResponse>();

    /**
     * Closes the connection of a request after the response to it, unless the head of that has been sent. To be called in the
     * order of the requests.
     *
     * @param request - the request
     * @param response - the response to it
     * @returns false if an earlier response has announced the close, so that the request cannot be answered
     */
    closeAfter({ socket }: IncomingMessage, response: ServerResponse): boolean {
        const earlier = this.last.get(socket);
        if (earlier?.headersSent) {
            return false;
        }
        if (response.headersSent) {
            return true;
        }
        if (earlier) {
            earlier.shouldKeepAlive = true;
        }
        response.shouldKeepAlive = false;
        this.last.set(socket, response);
        return true;
    }
}
