import type { Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { createTimedConnector } from "./createTimedConnector";
import { createTrackedConnector, type TrackedSocket } from "./createTrackedConnector";

/** Tells whether the connection that a call ran on was reset. */
export type ResetCheck = () => boolean;

/** Options of a call that wants to know of its connection. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called with the check when the call is given to a connection. */
    readonly onConnection?: (isReset: ResetCheck) => void;
}

/**
 * HTTP client with one connection that can tell a reset from an orderly end. The library takes both as the end of an
 * answer without a length; only an orderly end makes such an answer whole.
 */
export class TrackedClient extends Client {
    private readonly tracked: TrackedSocket;

    /**
     * @param origin - scheme, host and port
     * @param options - options of the library
     * @param connectTimeoutMs - longest wait for a new connection
     */
    constructor(origin: string, options: Client.Options, connectTimeoutMs: number) {
        const tracked: TrackedSocket = { socket: undefined };
        super(origin, {
            ...options,
            connect: createTrackedConnector(tracked, createTimedConnector(connectTimeoutMs)),
        });
        this.tracked = tracked;
    }

    override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        options.onConnection?.(() => isReset(this.tracked.socket));
        return super.dispatch(options, handler);
    }
}

/** A connection that was reset after its end was read has no peer any more. */
const isReset = (socket: Socket | undefined): boolean =>
    socket === undefined || socket.errored !== null || socket.remoteAddress === undefined;
