import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Options of {@link ConnectionLimit}. */
export interface ConnectionLimitOptions {
    readonly maxConnections: number;
    /** Monotonic time, in milliseconds; default: that of the process. */
    readonly readNowMs?: () => number;
}

interface ConnectionState {
    /** Responses to requests that have been read completely. */
    readonly responses: Set<ServerResponse>;
    /** Bytes of both directions at {@link progressMs}. */
    bytes: number;
    /** Time at which the connection was last seen to have moved bytes, in milliseconds. */
    progressMs: number;
}

const minProgressBytes = 1_024; // a byte now and then is no progress
const stallMs = 500;
const unreadStallMs = 2_000; // an answer that is written is read by then, on a slow link as well

/**
 * Bounds the connections of a server. A new one beyond the limit takes the place of the one that has stood still longest
 * without a request that is being worked on, so that clients that keep connections open for nothing do not shut others out.
 */
export class ConnectionLimit {
    private readonly states = new Map<Socket, ConnectionState>();
    private readonly readNowMs: () => number;
    /** Connections that were closed at the limit since the start. */
    closedCount = 0;

    constructor(private readonly options: ConnectionLimitOptions) {
        this.readNowMs = options.readNowMs ?? (() => performance.now());
    }

    /** Open connections. */
    get openCount(): number {
        return this.states.size;
    }

    /** Adds a connection, and closes one if there are too many. */
    add(socket: Socket): void {
        const isFull = this.states.size >= this.options.maxConnections;
        if (isFull) {
            this.closedCount += 1;
            const stalled = this.findStalled();
            if (!stalled) {
                socket.destroy();
                return;
            }
            this.states.delete(stalled);
            stalled.destroy();
        }
        this.states.set(socket, { responses: new Set(), bytes: 0, progressMs: this.readNowMs() });
        socket.once("close", () => this.states.delete(socket));
    }

    /** Records a request, which keeps its connection from being closed from its end until it is answered. */
    track(request: IncomingMessage, response: ServerResponse): void {
        const state = this.states.get(request.socket);
        if (!state) {
            return;
        }
        const begin = (): void => {
            if (!response.closed) {
                state.responses.add(response);
            }
        };
        if (request.complete) {
            begin();
        }
        request.once("end", begin);
        response.once("close", () => state.responses.delete(response));
    }

    /** Finds the connection that has stood still longest; undefined if none has for a time. */
    private findStalled(): Socket | undefined {
        const nowMs = this.readNowMs();
        let found: Socket | undefined;
        let longestMs = 0;
        for (const [socket, state] of this.states) {
            const bytes = socket.bytesRead + socket.bytesWritten;
            if (bytes - state.bytes >= minProgressBytes) {
                state.bytes = bytes;
                state.progressMs = nowMs;
            }
            const stalledMs = nowMs - state.progressMs;
            if (stalledMs > longestMs && stalledMs >= computeAllowedMs(state)) {
                found = socket;
                longestMs = stalledMs;
            }
        }
        return found;
    }
}

/** Time for which a connection may stand still, in milliseconds; infinite while one of its requests is worked on. */
const computeAllowedMs = ({ responses }: ConnectionState): number => {
    if (responses.size === 0) {
        return stallMs;
    }
    return [...responses].every(response => response.writableEnded) ? unreadStallMs : Infinity;
};
