import { type buildConnector, type Client, type Dispatcher, Pool } from "undici";
import { TrackedClient, type TrackedDispatchOptions } from "./TrackedClient";
import { UpstreamExchange } from "./UpstreamExchange";

/** An HTTP call to an upstream. */
export interface UpstreamCall {
    readonly method: string;
    /** Path and query, sent unchanged. */
    readonly path: string;
    /** Header names and values, alternating. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /**
     * Checked immediately before the call is written to its connection; if it returns false, nothing is written.
     * Default: always true.
     */
    readonly isWanted?: () => boolean;
}

/** Options of {@link UpstreamClient}. */
export interface UpstreamClientOptions {
    /** Host and port of the upstream. */
    readonly address: string;
    /**
     * Maximum number of open connections; further calls are queued. Default: no limit, for callers with a limit of
     * their own.
     */
    readonly maxConnections?: number;
    /** Time-out for establishing a connection; default {@link defaultConnectTimeoutMs}. */
    readonly connectTimeoutMs?: number;
    /** Idle time-out of a connection if the upstream sends no `Keep-Alive` header; default 4,000 ms. */
    readonly keepAliveMs?: number;
    /** Opens connections; default: undici's connector. */
    readonly connect?: buildConnector.connector;
}

/** Default time-out for establishing a connection, in milliseconds. */
export const defaultConnectTimeoutMs = 400; // a first packet within a data centre takes 1 to 3 ms
const defaultKeepAliveMs = 4_000; // below the usual idle time-out of servers
const keepAliveMarginMs = 1_200; // upstreams announce their idle time-out in whole seconds

/** HTTP client of one upstream, with a pool of connections that each carry one call at a time. */
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
                new TrackedClient(
                    String(origin),
                    clientOptions as Client.Options,
                    timeoutMs,
                    options.connect,
                ),
        });
    }

    /** The connection pool, for calls made with undici's own request functions. */
    get dispatcher(): Dispatcher {
        return this.pool;
    }

    /**
     * Sends a call, or queues it until a connection is free.
     *
     * @param call - the call
     * @returns the exchange, which reports the answer or the failure
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

    /** Closes all connections; open calls fail. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }
}
