import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import { isSameProof } from "../peers/isSameProof";
import type { PeerNetwork } from "../peers/PeerNetwork";
import { createTimedConnector } from "../upstreams/createTimedConnector";
import { computeTunnelProof } from "./computeTunnelProof";
import {
    lengthFraming,
    markedRequests,
    tunnelFramingHeader,
    tunnelProofHeader,
    tunnelRequestsHeader,
} from "./constants";
import { joinSockets } from "./joinSockets";

/** Options of {@link TunnelServer}. */
export interface TunnelServerOptions {
    readonly nodeId: string;
    readonly network: Pick<PeerNetwork, "onTunnelRequest">;
    readonly readClusterKey: () => string;
    readonly clock: Clock;
    /** Whether an upstream is listed at an address. */
    readonly isUpstream: (address: string) => boolean;
    /** Whether the upstream at an address may still get requests that other nodes have sent. */
    readonly isAccepting: (address: string) => boolean;
    /** Opens connections to upstreams; default: undici's connector. */
    readonly connect?: buildConnector.connector;
}

const connectTimeoutMs = 150; // the member that asks has other members to try
const maxIdleMs = 120_000; // of a member that has lost power, and whose connections do not end
const maxTunnels = 1_024; // each takes two descriptors

/** Opens connections to upstreams for members that cannot reach them, and passes the bytes on. */
export class TunnelServer {
    private readonly sockets = new Set<Socket>();
    private readonly connect: buildConnector.connector;
    private lastBytesMs = -Infinity;
    private isLeaving = false;
    private readonly recordBytes = (): void => {
        this.lastBytesMs = this.options.clock.readMonotonicMs();
    };

    constructor(private readonly options: TunnelServerOptions) {
        this.connect = createTimedConnector(connectTimeoutMs, options.connect);
    }

    /** Number of open tunnels. */
    get size(): number {
        return this.sockets.size;
    }

    /** Whether no bytes have been passed on for at least the given time, in milliseconds. */
    isIdleFor(durationMs: number): boolean {
        return this.sockets.size === 0
            || this.options.clock.readMonotonicMs() - this.lastBytesMs >= durationMs;
    }

    /** Opens no more tunnels. Those that are open go on. */
    refuseNewTunnels(): void {
        this.isLeaving = true;
    }

    async start(): Promise<void> {
        this.options.network.onTunnelRequest((request, socket) => this.serve(request, socket));
    }

    async stop(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
    }

    private serve(request: IncomingMessage, near: Socket): void {
        near.on("error", () => near.destroy());
        const refusal = this.checkRequest(request);
        if (refusal !== undefined) {
            refuseTunnel(near, refusal);
            return;
        }
        this.sockets.add(near);
        near.on("close", () => this.sockets.delete(near));
        near.setTimeout(maxIdleMs, () => near.destroy());
        const [hostname, port] = request.url!.split(":");
        this.connect({ hostname, port, protocol: "http:" }, (...[error, far]) => {
            if (error) {
                refuseTunnel(near, "502 Bad Gateway");
                return;
            }
            if (near.destroyed) {
                far.destroy();
                return;
            }
            this.join(request, near, far);
        });
    }

    /** Passes bytes on in the way that the node that asked for the tunnel understands. */
    private join({ headers, url = "" }: IncomingMessage, near: Socket, far: Socket): void {
        const isFramed = headers[tunnelFramingHeader] === lengthFraming;
        const isMarked = headers[tunnelRequestsHeader] === markedRequests;
        const fields = [
            ...isFramed ? [`${tunnelFramingHeader}: ${lengthFraming}\r\n`] : [],
            ...isMarked ? [`${tunnelRequestsHeader}: ${markedRequests}\r\n`] : [],
        ];
        near.write(`HTTP/1.1 200 Connection Established\r\n${fields.join("")}\r\n`);
        const isAccepting = isMarked ? () => this.options.isAccepting(url) : undefined;
        joinSockets({ near, far, isFramed, isAccepting, onBytes: this.recordBytes });
        this.recordBytes();
    }

    /** Returns the status with which a request is refused; undefined if a tunnel may be opened. */
    private checkRequest({ headers, url = "" }: IncomingMessage): string | undefined {
        const { nodeId, readClusterKey, isUpstream } = this.options;
        const expected = computeTunnelProof({ clusterKey: readClusterKey(), nodeId, target: url });
        if (!isSameProof(expected, String(headers[tunnelProofHeader]))) {
            return "407 Proxy Authentication Required";
        }
        if (!isUpstream(url)) {
            return "404 Not Found";
        }
        const hasRoom = !this.isLeaving && this.sockets.size < maxTunnels;
        return hasRoom ? undefined : "503 Service Unavailable";
    }
}

/** Answers a request and closes its connection, also if the other side leaves it open. */
const refuseTunnel = (near: Socket, status: string): void => {
    near.write(`HTTP/1.1 ${status}\r\n\r\n`);
    near.destroySoon();
};

/** Name of the tunnel server service. */
export const tunnelServerName = createServiceName<TunnelServer>("tunnel-server");
