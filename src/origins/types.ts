/** Types of what began a stream, which decides where it may go on. */

/** The upstreams at which a stream may go on: those of one service that run one version of its software. */
export interface StreamOrigin {
    readonly service: string;
    readonly softwareVersion: string;
}

/** A stream that has begun, by the id of the caller's attempt that brought its first event. */
export interface BegunStream extends StreamOrigin {
    readonly requestId: string;
}
