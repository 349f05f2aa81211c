import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

const maxOpenRequests = 16; // on one connection; each may be running

/**
 * Bounds the requests of a connection that are open at the same time. At the limit, the response to the last of them
 * announces that the connection closes after it; what the caller sends after that request is dropped without being parsed.
 */
export class PipelineLimit {
    private readonly full = new WeakSet<Socket>();
    private readonly dropping = new WeakSet<Socket>();

    /**
     * Applies the limit to a request that has been passed on.
     *
     * @param request - the request
     * @param response - its response, whose head has not been sent
     * @param openCount - number of requests that are open on its connection, this one included
     */
    apply({ socket }: IncomingMessage, response: ServerResponse, openCount: number): void {
        if (openCount >= maxOpenRequests) {
            this.full.add(socket);
            response.shouldKeepAlive = false;
        }
    }

    /** Whether a request has arrived beyond the limit of its connection. What follows it is then dropped. */
    isBeyond({ socket }: IncomingMessage): boolean {
        if (!this.full.has(socket)) {
            return false;
        }
        if (!this.dropping.has(socket)) {
            this.dropping.add(socket);
            process.nextTick(dropInput, socket); // the parser is at work
        }
        return true;
    }
}

const dropInput = (socket: Socket): void => {
    socket.removeAllListeners("data"); // the parser's
    socket.on("data", () => {});
};
