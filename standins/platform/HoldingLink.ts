import { connect as connectSocket, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Options of {@link HoldingLink}. */
export interface HoldingLinkOptions {
    /**
     * Whether a reset takes back the bytes that are held up, as where they have not left the sender's system; default: false,
     * as where they wait for a late reader.
     */
    readonly losesBytesAtReset?: boolean;
    /**
     * Whether, while the link is held, a connection's last answer comes again when its opener sends something; default: false.
     * Openers that send one request at a time get whole answers.
     */
    readonly repeatsAnswers?: boolean;
}

/** One connection through the link, and the bytes of its opener that are held up. */
interface LinkedConnection {
    readonly near: Socket;
    readonly far: Socket;
    held: Buffer[];
    lastAnswer: Buffer | undefined;
    /** Whether the opener has closed or reset the connection, which the other side learns after the bytes. */
    hasEnded: boolean;
}

/**
 * Link between a node and a service. While it is held, nothing passes in either direction; the bytes sent meanwhile arrive
 * once it is released, also those of connections that their opener has closed or reset: a reader gets what its system has
 * received before it learns of the reset.
 */
export class HoldingLink {
    private isHeld = false;
    private resets = 0;
    private readonly connections = new Set<LinkedConnection>();
    private readonly server: Server = createServer({ allowHalfOpen: true }, socket => this.accept(socket));

    /**
     * @param target - host and port of the service
     * @param options - what a reset takes back
     */
    constructor(private readonly target: string, private readonly options: HoldingLinkOptions = {}) {}

    /** Host and port of the link; available once it has started. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Bytes that are held up now. */
    get heldBytes(): number {
        return [...this.connections].flatMap(({ held }) => held).reduce((sum, { length }) => sum + length, 0);
    }

    /** Number of connections that their opener has reset. */
    get resetCount(): number {
        return this.resets;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    async stop(): Promise<void> {
        this.connections.forEach(({ near, far }) => [near, far].forEach(socket => socket.destroy()));
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    hold(): void {
        this.isHeld = true;
        this.connections.forEach(({ far }) => far.pause());
    }

    release(): void {
        this.isHeld = false;
        this.connections.forEach(connection => {
            connection.held.forEach(bytes => connection.far.write(bytes));
            connection.held = [];
            if (connection.hasEnded) {
                connection.far.end();
            }
            connection.far.resume();
        });
    }

    private accept(near: Socket): void {
        const [host, port] = this.target.split(":");
        const far = connectSocket(Number(port), host);
        const connection: LinkedConnection = { near, far, held: [], lastAnswer: undefined, hasEnded: false };
        this.connections.add(connection);
        near.on("data", (bytes: Buffer) => this.forward(connection, bytes));
        near.on("end", () => this.end(connection));
        near.on("error", () => this.reset(connection));
        far.on("data", (bytes: Buffer) => this.answer(connection, bytes));
        far.on("end", () => near.end());
        far.on("error", () => near.destroy());
        far.on("close", () => this.connections.delete(connection));
        if (this.isHeld) {
            far.pause();
        }
    }

    private forward(connection: LinkedConnection, bytes: Buffer): void {
        if (this.isHeld) {
            connection.held.push(bytes);
            if (this.options.repeatsAnswers && connection.lastAnswer) {
                connection.near.write(connection.lastAnswer);
            }
            return;
        }
        connection.far.write(bytes);
    }

    private answer(connection: LinkedConnection, bytes: Buffer): void {
        connection.lastAnswer = bytes;
        if (connection.near.writable) {
            connection.near.write(bytes);
        }
    }

    private end(connection: LinkedConnection): void {
        connection.hasEnded = true;
        if (!this.isHeld) {
            connection.far.end();
        }
    }

    /** The opener has reset the connection. */
    private reset(connection: LinkedConnection): void {
        this.resets += 1;
        if (this.options.losesBytesAtReset) {
            connection.held = [];
            connection.far.destroy();
        }
        else {
            this.end(connection);
        }
    }
}
