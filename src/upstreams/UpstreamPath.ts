import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { buildConnector } from "undici";
import type { Clock } from "../kernel/types";

/** Ways by which connections to an upstream are opened. */
export const upstreamWays = { direct: "direct", relayed: "relayed" } as const;

/** One of {@link upstreamWays}. */
export type UpstreamWay = typeof upstreamWays[keyof typeof upstreamWays];

/** Options of {@link UpstreamPath}. */
export interface UpstreamPathOptions {
    /** Host and port of the upstream. */
    readonly address: string;
    /** Opens a connection of this node's own; ends in time. */
    readonly connect: buildConnector.connector;
    /** Time limit of an attempt by all ways together, in milliseconds. */
    readonly timeoutMs: number;
    /** Opens a connection through another member. */
    readonly openTunnel: (address: string) => Promise<Duplex>;
    readonly clock: Clock;
    /** Called when connections are opened by another way than before. */
    readonly onChange: (way: UpstreamWay) => void;
}

const hedgeMs = 150; // a connection within a region takes a few ms
const probeIntervalMs = 3_000;

/**
 * Opens connections to one upstream: directly, or through another member while the upstream is reached only from there.
 */
export class UpstreamPath {
    private currentWay: UpstreamWay = upstreamWays.direct;
    private probedMs = -Infinity;

    constructor(private readonly options: UpstreamPathOptions) {}

    /** The way by which the latest connection was opened. */
    get way(): UpstreamWay {
        return this.currentWay;
    }

    /** Connector for undici. */
    readonly connect: buildConnector.connector = (options, callback) => {
        const attempt = this.currentWay === upstreamWays.direct
            ? this.openDirectly(options)
            : this.openByMember(options);
        this.finishInTime(attempt, callback);
        return undefined as never; // undici does not use what connectors return
    };

    /** Tries a connection of this node's own from time to time while connections are opened through another member. */
    tryDirectly(): void {
        const nowMs = this.options.clock.readMonotonicMs();
        if (this.currentWay === upstreamWays.direct || nowMs - this.probedMs < probeIntervalMs) {
            return;
        }
        this.probedMs = nowMs;
        const [hostname, port] = this.options.address.split(":");
        this.dial({ hostname, port, protocol: "http:" }).then(
            socket => {
                socket.destroy();
                this.adopt(upstreamWays.direct);
            },
            () => {}, // still cut off
        );
    }

    private finishInTime(attempt: Promise<Duplex>, callback: buildConnector.Callback): void {
        const { timeoutMs } = this.options;
        let isLate = false;
        const timer = setTimeout(() => {
            isLate = true;
            this.adopt(upstreamWays.direct);
            callback(new Error(`no connection within ${timeoutMs} ms`), null);
        }, timeoutMs);
        const finish = (error: Error | null, socket?: Duplex): void => {
            clearTimeout(timer);
            if (isLate) {
                socket?.destroy();
                return;
            }
            const connection = socket as Socket; // undici uses what every duplex stream has
            callback(...(error ? [error, null] as const : [null, connection] as const));
        };
        attempt.then(socket => finish(null, socket), (error: Error) => finish(error));
    }

    /** Connects directly, and through a member too if that fails or takes long. */
    private openDirectly(options: buildConnector.Options): Promise<Duplex> {
        return new Promise((resolve, reject) => {
            let isSettled = false;
            let tunnel: Promise<void> | undefined;
            const settle = (socket: Duplex, way: UpstreamWay): void => {
                if (isSettled) {
                    socket.destroy();
                    return;
                }
                isSettled = true;
                clearTimeout(timer);
                this.adopt(way);
                resolve(socket);
            };
            const startTunnel = (): Promise<void> => {
                tunnel ??= this.options.openTunnel(this.options.address)
                    .then(socket => settle(socket, upstreamWays.relayed));
                return tunnel;
            };
            const timer = setTimeout(() => void startTunnel().catch(() => {}), hedgeMs); // reported by the attempt itself
            this.dial(options).then(socket => settle(socket, upstreamWays.direct), (error: Error) => {
                clearTimeout(timer);
                startTunnel().catch((tunnelError: Error) =>
                    reject(new Error(`${error.message}; through other members: ${tunnelError.message}`))
                );
            });
        });
    }

    /** Connects through a member, and directly if that fails. */
    private async openByMember(options: buildConnector.Options): Promise<Duplex> {
        try {
            return await this.options.openTunnel(this.options.address);
        }
        catch {
            const socket = await this.dial(options);
            this.adopt(upstreamWays.direct);
            return socket;
        }
    }

    private dial(options: buildConnector.Options): Promise<Duplex> {
        return new Promise((resolve, reject) => {
            this.options.connect(options, (...[error, socket]) => error ? reject(error) : resolve(socket));
        });
    }

    private adopt(way: UpstreamWay): void {
        if (way !== this.currentWay) {
            this.currentWay = way;
            this.probedMs = this.options.clock.readMonotonicMs();
            this.options.onChange(way);
        }
    }
}
