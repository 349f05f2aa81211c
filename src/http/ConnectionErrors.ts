import { type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

/** A request that has been read from a connection at least up to its body, and its response. */
interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
}

interface ConnectionState {
    /** Requests whose response has not ended, in order. */
    readonly open: Set<OpenRequest>;
    /** Whether the connection is closed when no request is open. */
    isClosing: boolean;
}

const badRequestStatus = 400;
const statuses: Readonly<Record<string, number>> = {
    ERR_HTTP_REQUEST_TIMEOUT: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    HPE_HEADER_OVERFLOW: 431,
};

/**
 * Ends the connections of an HTTP server on which a request cannot be read. An error answer is written only where it cannot
 * be taken for that of an earlier request, which may be running.
 */
export class ConnectionErrors {
    private readonly states = new WeakMap<Socket, ConnectionState>();

    /**
     * Records that a request is open. To be called when its head has been read.
     *
     * @param request - the request
     * @param response - its response
     * @returns number of requests that are open on its connection, this one included
     */
    trackRequest(request: IncomingMessage, response: ServerResponse): number {
        const { socket } = request;
        const state = this.states.get(socket) ?? { open: new Set(), isClosing: false };
        this.states.set(socket, state);
        const opened = { request, response };
        state.open.add(opened);
        response.on("close", () => {
            state.open.delete(opened);
            if (state.isClosing && state.open.size === 0) {
                socket.destroySoon();
            }
        });
        return state.open.size;
    }

    /**
     * Handles a connection on which no further request can be read, or on which the head of one is late. The requests that
     * were read before are answered first.
     *
     * @param error - error of the connection or its parser, or the time-out
     * @param socket - the connection
     */
    handle(error: NodeJS.ErrnoException, socket: Socket): void {
        const state = this.states.get(socket);
        const open = [...state?.open ?? []];
        const hasComplete = open.some(({ request }) => request.complete);
        if (state && hasComplete && open.at(-1)!.request.complete && isConnected(socket)) {
            state.isClosing = true;
            return;
        }
        const hasBegun = open.some(({ response }) => response.headersSent);
        if (!hasComplete && !hasBegun && isConnected(socket)) {
            socket.write(formatErrorAnswer(statuses[error.code ?? ""] ?? badRequestStatus));
        }
        socket.destroy();
    }
}

const isConnected = (socket: Socket): boolean => socket.writable && !socket.readableEnded;

const formatErrorAnswer = (status: number): string =>
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`;
