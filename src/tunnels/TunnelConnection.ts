import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { joinParts } from "../_lib/joinParts";
import type { RequestMarker } from "../upstreams/markRequest";
import { encodeFrameLength } from "./encodeFrameLength";
import { TunnelFrameDecoder } from "./TunnelFrameDecoder";

/** Options of {@link TunnelConnection}. */
export interface TunnelConnectionOptions {
    /** Connection to the member, on which the tunnel has been opened. */
    readonly socket: Socket;
    /** Host and port of the member, for messages. */
    readonly member: string;
    /** Whether the member marks the regular end of the upstream's bytes. Members of older versions do not. */
    readonly isFramed: boolean;
    /** Whether the member reads frames, and marks of requests among them. Members of older versions do not. */
    readonly areRequestsMarked: boolean;
}

/**
 * Connection to an upstream through another member. It ends regularly only if the upstream ended its own regularly; when
 * the member ends or is lost, it fails, also where the system closes the member's connections regularly. Without frames it
 * never ends regularly. Given up with an error, it resets the connection to the member, which resets its own to the
 * upstream.
 */
export class TunnelConnection extends Duplex implements RequestMarker {
    readonly remoteAddress: string | undefined;
    private readonly decoder = new TunnelFrameDecoder();
    /** Whether the next bytes begin a request. */
    private isRequestNext = false;

    constructor(private readonly options: TunnelConnectionOptions) {
        const { socket, member } = options;
        super({
            allowHalfOpen: false,
            read: () => void socket.resume(),
            write: (chunk: Buffer, _encoding, callback) => this.send(chunk, callback),
            writev: (chunks, callback) => {
                this.send(Buffer.concat(chunks.map(({ chunk }) => chunk as Buffer)), callback);
            },
            final: callback => void socket.end(callback),
            destroy: (error, callback) => {
                if (error) {
                    socket.resetAndDestroy();
                }
                else {
                    socket.destroy();
                }
                callback(error);
            },
        });
        this.remoteAddress = socket.remoteAddress;
        socket.on("data", (chunk: Buffer) => this.receive(chunk));
        socket.on("error", error => this.destroy(error));
        socket.on("close", () => {
            if (!this.decoder.isEnded) {
                this.destroy(
                    new Error(`the tunnel through ${member} ended before the upstream's connection`),
                );
            }
        });
    }

    /** Marks the next bytes as the beginning of a request. */
    markRequest(): void {
        this.isRequestNext = true;
    }

    private send(bytes: Buffer, callback: (error?: Error | null) => void): void {
        const { socket, areRequestsMarked } = this.options;
        if (!areRequestsMarked || bytes.length === 0) {
            socket.write(bytes, callback);
            return;
        }
        socket.cork();
        if (this.isRequestNext) {
            this.isRequestNext = false;
            socket.write(encodeFrameLength(0));
        }
        socket.write(encodeFrameLength(bytes.length));
        socket.write(bytes, callback);
        socket.uncork();
    }

    private receive(chunk: Buffer): void {
        if (!this.options.isFramed) {
            this.deliver(chunk);
            return;
        }
        const parts = [...this.decoder.decode(chunk)];
        if (parts.length > 0) {
            this.deliver(joinParts(parts));
        }
        if (this.decoder.isEnded) {
            this.push(null);
        }
    }

    private deliver(bytes: Buffer): void {
        if (!this.push(bytes)) {
            this.options.socket.pause();
        }
    }
}
