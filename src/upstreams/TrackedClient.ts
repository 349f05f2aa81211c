import { type buildConnector, Client, type Dispatcher } from "undici";
import { createTrackedConnector, type TrackedSocket } from "./createTrackedConnector";
import { isResetSocket } from "./isResetSocket";

/** Returns whether the connection of a call was reset. */
export type ResetCheck = () => boolean;

/** Dispatch options with a callback that receives the reset check of the call's connection. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called when the call is assigned to a connection. */
    readonly onConnection?: (isReset: ResetCheck) => void;
}

/**
 * undici client with one connection that distinguishes a reset from a regular close. undici treats both as the end of
 * an answer without a length, but such an answer is complete only after a regular close.
 */
export class TrackedClient extends Client {
    private readonly tracked: TrackedSocket;

    /**
     * @param origin - scheme, host and port
     * @param options - undici's options
     * @param connect - opens the connection
     */
    constructor(origin: string, options: Client.Options, connect: buildConnector.connector) {
        const tracked: TrackedSocket = { socket: undefined };
        super(origin, { ...options, connect: createTrackedConnector(tracked, connect) });
        this.tracked = tracked;
    }

    override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        options.onConnection?.(() => isResetSocket(this.tracked.socket));
        return super.dispatch(options, handler);
    }
}
