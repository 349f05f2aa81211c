import { type Client, type Dispatcher, Pool } from "undici";
import { TrackedClient, type TrackedDispatchOptions } from "./TrackedClient";
import { UpstreamExchange } from "./UpstreamExchange";

/** A call as it is sent to an upstream. */
export interface UpstreamCall {
    readonly method: string;
    /** Path and query, unchanged from the caller's. */
    readonly path: string;
    /** Names and values by turns. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /** Asked right before the call is written; where it says no, nothing is written. Default: always wanted. */
    readonly isWanted?: () => boolean;
}

/** Options of {@link UpstreamClient}. */
export interface UpstreamClientOptions {
    /** Host and port. */
    readonly address: string;
    /** Connections open at once; calls beyond them wait. Default: no limit, for callers that count their calls. */
    readonly maxConnections?: number;
    /** Longest wait for a new connection; default 400 ms. */
    readonly connectTimeoutMs?: number;
    /** Idle time of a connection where the upstream names none; default 4,000 ms. */
    readonly keepAliveMs?: number;
}

/** Longest wait for a new connection, in milliseconds, where the options name none. */
export const defaultConnectTimeoutMs = 400; // a first packet in one data centre takes 1 to 3 ms
const defaultKeepAliveMs = 4_000; // shorter than the usual idle timeout of servers
const keepAliveMarginMs = 1_200; // upstreams name whole seconds

/** Connections to one upstream; each carries one call at a time. */
export class UpstreamClient {
    private readonly pool: Pool;

    constructor(options: UpstreamClientOptions) {
        const timeoutMs = options.connectTimeoutMs ?? defaultConnectTimeoutMs;
        this.pool = new Pool(`http://${options.address}`, {
            connections: options.maxConnections ?? null,
            pipelining: 1,
            keepAliveTimeout: options.keepAliveMs ?? defaultKeepAliveMs,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            factory: (origin, clientOptions) =>
                new TrackedClient(String(origin), clientOptions as Client.Options, timeoutMs),
        });
    }

    /** The connections, for calls whose answers are read by the library's own means. */
    get dispatcher(): Dispatcher {
        return this.pool;
    }

    /**
     * Sends a call.
     *
     * @param call - method, path, headers and body
     * @returns the exchange
     */
    send(call: UpstreamCall): UpstreamExchange {
        const exchange = new UpstreamExchange({ isWanted: call.isWanted });
        const options: TrackedDispatchOptions = {
            method: call.method as "GET",
            path: call.path,
            headers: call.headers,
            body: call.body,
            onConnection: isReset => exchange.setResetCheck(isReset),
        };
        this.pool.dispatch(options, exchange);
        return exchange;
    }

    /** Closes all connections and fails open calls. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }
}
