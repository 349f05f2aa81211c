import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

/** Tells whether the connection that a call ran on was reset. */
export type ConnectionCheck = () => boolean;

/** Options of a call that wants to know of its connection. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called with the check when the call is given to a connection. */
    readonly onConnection?: (isReset: ConnectionCheck) => void;
}

const resetCode = "ECONNRESET";
const trackedResetCode = "UPSTREAM_RESET";

interface Tracked {
    socket: Socket | undefined;
}

/**
 * HTTP client with one connection that can tell a reset from an orderly end. The library takes both as the end of an
 * answer without a length; only an orderly end makes such an answer whole.
 */
export class TrackedClient extends Client {
    private readonly tracked: Tracked;

    /**
     * @param origin - scheme, host and port
     * @param options - options of the library
     * @param connectTimeoutMs - longest wait for a new connection
     */
    constructor(origin: string, options: Client.Options, connectTimeoutMs: number) {
        const tracked: Tracked = { socket: undefined };
        super(origin, { ...options, connect: createConnector(tracked, connectTimeoutMs) });
        this.tracked = tracked;
    }

    override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        options.onConnection?.(() => isReset(this.tracked.socket));
        return super.dispatch(options, handler);
    }
}

const createConnector = (tracked: Tracked, timeoutMs: number): buildConnector.connector => {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) =>
        connect(options, (...outcome) => {
            tracked.socket = outcome[1] ?? undefined;
            tracked.socket?.prependListener("error", markReset);
            callback(...outcome);
        });
};

/** Gives a reset a code that the library does not take for an orderly end. */
const markReset = (error: NodeJS.ErrnoException): void => {
    error.code = error.code === resetCode ? trackedResetCode : error.code;
};

/** A connection that was reset after its end was read has no peer any more. */
const isReset = (socket: Socket | undefined): boolean =>
    socket === undefined || socket.errored !== null || socket.remoteAddress === undefined;
