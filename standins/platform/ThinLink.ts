import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { Readable, Writable } from "node:stream";

const tickMs = 10;
const msPerSecond = 1_000;

/** A link to a server that carries few bytes a second, in both directions of all its connections together. */
export class ThinLink {
    private readonly server: Server = createServer(near => this.open(near));
    private readonly sockets = new Set<Socket>();
    private readonly bytesPerTick: number;
    private readonly timer: NodeJS.Timeout;
    private leftBytes = 0;
    private waiting: (() => void)[] = [];

    /**
     * @param target - host and port of the server
     * @param bytesPerS - bytes that the link carries in a second
     */
    constructor(private readonly target: string, bytesPerS: number) {
        this.bytesPerTick = Math.ceil(bytesPerS * tickMs / msPerSecond);
        this.timer = setInterval(() => this.tick(), tickMs);
    }

    /** Host and port that lead to the server; available after {@link start}. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private open(near: Socket): void {
        const [host, port] = this.target.split(":");
        const far = connect(Number(port), host);
        for (const [socket, other] of [[near, far], [far, near]]) {
            this.sockets.add(socket);
            socket.on("error", () => {});
            socket.on("close", () => {
                this.sockets.delete(socket);
                other.destroy();
            });
        }
        void this.forward(near, far);
        void this.forward(far, near);
    }

    private async forward(from: Readable, to: Writable): Promise<void> {
        try {
            for await (const chunk of from) {
                await this.forwardChunk(chunk as Buffer, to);
            }
            to.end();
        }
        catch {
            to.destroy(); // the connection was closed
        }
    }

    private async forwardChunk(chunk: Buffer, to: Writable): Promise<void> {
        for (let sent = 0; sent < chunk.length;) {
            const bytes = Math.min(chunk.length - sent, this.leftBytes);
            if (bytes === 0) {
                await new Promise<void>(resolve => this.waiting.push(resolve));
                continue;
            }
            this.leftBytes -= bytes;
            to.write(chunk.subarray(sent, sent + bytes));
            sent += bytes;
        }
    }

    private tick(): void {
        this.leftBytes = this.bytesPerTick;
        const { waiting } = this;
        this.waiting = [];
        waiting.forEach(resolve => resolve());
    }
}
