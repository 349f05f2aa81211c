import { type buildConnector, type Client, type Dispatcher, Pool } from "undici";
import { TrackedClient, type TrackedDispatchOptions } from "./TrackedClient";
import { createTimedConnector } from "./createTimedConnector";
import { UpstreamExchange } from "./UpstreamExchange";
import { UpstreamPath, type UpstreamPathOptions, upstreamWays } from "./UpstreamPath";

/** An HTTP call to an upstream. */
export interface UpstreamCall {
    readonly method: string;
    /** Path and query, sent unchanged. */
    readonly path: string;
    /** Header names and values, alternating. */
    readonly headers: string[];
    readonly body: Buffer | undefined;
    /**
     * Checked immediately before the call is written to its connection; if it returns false, nothing is written. Receives
     * whether the connection was opened to the process that is listed. Default: always true.
     */
    readonly isWanted?: (isConfirmed: boolean) => boolean;
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
    /** Whether a connection that is opened now leads to the process that is listed; default: always true. */
    readonly isListingCurrent?: () => boolean;
    /** Other way to the upstream, for when it cannot be reached directly. */
    readonly detour?: UpstreamDetour;
}

/** How connections to an upstream are opened through another member. */
export type UpstreamDetour = Pick<UpstreamPathOptions, "openTunnel" | "clock" | "onChange">;

/** Default time-out for establishing a connection, in milliseconds. */
export const defaultConnectTimeoutMs = 400; // a first packet within a data centre takes 1 to 3 ms
const defaultKeepAliveMs = 4_000; // below the usual idle time-out of servers
const maxHeadBytes = 65_536; // above AnswerLimits: undici creates an error for each further line of a head that is too long
const keepAliveMarginMs = 1_200; // upstreams announce their idle time-out in whole seconds

/** HTTP client of one upstream, with a pool of connections that each carry one call at a time. */
export class UpstreamClient {
    private pool: Pool;
    /** Pools that finish their calls and take no more. */
    private readonly retired = new Set<Pool>();
    private readonly path: UpstreamPath | undefined;
    private readonly connect: buildConnector.connector;

    constructor(private readonly options: UpstreamClientOptions) {
        const timeoutMs = options.connectTimeoutMs ?? defaultConnectTimeoutMs;
        const connect = createTimedConnector(timeoutMs, options.connect);
        const { address, detour } = options;
        this.path = detour && new UpstreamPath({
            address,
            connect,
            timeoutMs,
            openTunnel: detour.openTunnel,
            clock: detour.clock,
            onChange: way => {
                if (way === upstreamWays.direct) {
                    this.renewConnections();
                }
                detour.onChange(way);
            },
        });
        this.connect = this.path?.connect ?? connect;
        this.pool = this.createPool();
    }

    /** Whether connections are opened through another member. */
    get isRelayed(): boolean {
        return this.path?.way === upstreamWays.relayed;
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
        this.path?.tryDirectly();
        const exchange = new UpstreamExchange({ isWanted: call.isWanted });
        const options: TrackedDispatchOptions = {
            method: call.method as "GET",
            path: call.path,
            headers: call.headers,
            body: call.body,
            onConnection: connection => exchange.setConnection(connection),
        };
        this.pool.dispatch(options, exchange);
        return exchange;
    }

    /** Opens a new connection for each further call; those in use are closed when their calls have ended. */
    renewConnections(): void {
        const { pool } = this;
        this.pool = this.createPool();
        this.retired.add(pool);
        void pool.close().then(() => this.retired.delete(pool), () => this.retired.delete(pool));
    }

    /** Closes all connections; open calls fail. */
    async close(): Promise<void> {
        await Promise.all([this.pool, ...this.retired].map(pool => pool.destroy()));
    }

    private createPool(): Pool {
        const { address, maxConnections, keepAliveMs, isListingCurrent = () => true } = this.options;
        const connecting = { connect: this.connect, isListingCurrent };
        return new Pool(`http://${address}`, {
            connections: maxConnections ?? null,
            pipelining: 1,
            keepAliveTimeout: keepAliveMs ?? defaultKeepAliveMs,
            keepAliveTimeoutThreshold: keepAliveMarginMs,
            maxHeaderSize: maxHeadBytes,
            headersTimeout: 0,
            bodyTimeout: 0,
            factory: (origin, clientOptions) =>
                new TrackedClient(String(origin), clientOptions as Client.Options, connecting),
        });
    }
}
