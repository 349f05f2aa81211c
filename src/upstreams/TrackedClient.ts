import { type buildConnector, Client, type Dispatcher } from "undici";
import { createTrackedConnector, type TrackedCall, type TrackedSocket } from "./createTrackedConnector";
import { isResetSocket } from "./isResetSocket";
import { markRequest } from "./markRequest";
import { resetOnError } from "./resetOnError";

/** The connection of a call. */
export interface CallConnection {
    /** Returns whether it was reset. */
    readonly isReset: () => boolean;
    /** Returns whether it was opened to the process that is listed; known once the call is written. */
    readonly isConfirmed: () => boolean;
    /** Begins a call, which is told of the connection's input. */
    readonly beginCall: (call: TrackedCall) => void;
    /** Ends a call; another one may have begun since. */
    readonly endCall: (call: TrackedCall) => void;
    /** Closes it, unless another call has begun on it. */
    readonly close: () => void;
    /** Lets undici reset it when the call is aborted, so that the system does not deliver what has not left yet. */
    readonly prepareAbort: () => void;
}

/** Dispatch options with a callback that receives the call's connection. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
    /** Called when the call is assigned to a connection. */
    readonly onConnection?: (connection: CallConnection) => void;
}

/** How a {@link TrackedClient} opens its connection. */
export interface TrackedConnectOptions {
    readonly connect: buildConnector.connector;
    /** Whether a connection that is opened now leads to the process that is listed. */
    readonly isListingCurrent: () => boolean;
}

const maxUntrackedBytes = 67_108_864; // 64 MiB, head and framing included

/** Creates a call whose answer undici collects itself, and which ends with its connection if that is too long. */
const createUntrackedCall = (tracked: TrackedSocket): TrackedCall => {
    let inputBytes = 0;
    return {
        onEnd: () => {},
        onInput: bytes => {
            inputBytes += bytes;
            if (inputBytes > maxUntrackedBytes) {
                tracked.socket?.destroy(new Error(`answer exceeds ${maxUntrackedBytes} bytes`));
            }
        },
    };
};

/**
 * undici client with one connection that distinguishes a reset from a regular close. undici treats both as the end of
 * an answer without a length, but such an answer is complete only after a regular close.
 */
export class TrackedClient extends Client {
    private readonly tracked: TrackedSocket;

    /**
     * @param origin - scheme, host and port
     * @param options - undici's options
     * @param connecting - opens the connection
     */
    constructor(origin: string, options: Client.Options, connecting: TrackedConnectOptions) {
        const tracked: TrackedSocket = { socket: undefined, isConfirmed: false, callCount: 0 };
        const { connect, isListingCurrent } = connecting;
        super(origin, { ...options, connect: createTrackedConnector(tracked, connect, isListingCurrent) });
        this.tracked = tracked;
    }

    override dispatch(options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
        const { tracked } = this;
        let callNumber = 0;
        if (!options.onConnection) {
            tracked.isIdle = false;
            tracked.call = createUntrackedCall(tracked);
        }
        options.onConnection?.({
            isReset: () => isResetSocket(tracked.socket),
            isConfirmed: () => tracked.isConfirmed,
            beginCall: call => {
                tracked.call = call;
                tracked.isIdle = false;
                tracked.callCount += 1;
                callNumber = tracked.callCount;
                markRequest(tracked.socket);
            },
            endCall: call => {
                if (tracked.call === call) {
                    tracked.call = undefined;
                    tracked.isIdle = true;
                }
            },
            close: () => {
                if (tracked.callCount === callNumber) {
                    tracked.socket?.destroy();
                }
            },
            prepareAbort: () => {
                if (tracked.callCount === callNumber) {
                    resetOnError(tracked.socket);
                }
            },
        });
        return super.dispatch(options, handler);
    }
}
