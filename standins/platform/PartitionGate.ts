import { connect as connectSocket, createServer, type Server, Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { buildConnector } from "undici";

/** How a partition shows: what becomes of open connections, and of attempts to open new ones. */
export type PartitionKind =
    /** Open connections are reset, new ones refused. */
    | "reset"
    /** Open connections fall silent, new ones are never established. */
    | "hang"
    /** Open connections live on, new ones are refused. */
    | "refuse";

/** Connects one node to its upstreams, and cuts it off from all of them. */
export class PartitionGate {
    private kind: PartitionKind | undefined;
    private readonly server: Server = createServer({ pauseOnConnect: false }, socket => this.accept(socket));
    private readonly sockets = new Set<Socket>();

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    async stop(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    /** Cuts the node off. */
    interrupt(kind: PartitionKind): void {
        this.kind = kind;
        if (kind === "reset") {
            this.sockets.forEach(socket => socket.resetAndDestroy());
        }
        if (kind === "hang") {
            this.sockets.forEach(socket => {
                socket.unpipe();
                socket.pause();
            });
        }
    }

    /** Ends the cut. Connections that fell silent stay so. */
    restore(): void {
        this.kind = undefined;
    }

    /** Opens a connection to an upstream; in place of undici's own connector. */
    readonly connect: buildConnector.connector = (options, callback) => {
        const { hostname, port } = options;
        const socket = new Socket();
        const onError = (error: Error): void => callback(error, null);
        socket.once("error", onError);
        if (this.kind === "hang") {
            return socket;
        }
        if (this.kind !== undefined) {
            setImmediate(() => socket.destroy(new Error(`connect ECONNREFUSED ${hostname}:${port}`)));
            return socket;
        }
        socket.connect((this.server.address() as AddressInfo).port, "127.0.0.1", () => {
            socket.off("error", onError);
            socket.write(`${hostname}:${port}\n`);
            callback(null, socket);
        });
        return socket;
    };

    private accept(near: Socket): void {
        this.track(near);
        near.once("data", (data: Buffer) => {
            near.pause();
            const lineEnd = data.indexOf("\n");
            const [host, port] = data.subarray(0, lineEnd).toString("utf8").split(":");
            const far = connectSocket(Number(port), host);
            this.track(far);
            far.write(data.subarray(lineEnd + 1));
            near.pipe(far);
            far.pipe(near);
            near.on("close", () => far.destroy());
            far.on("close", hadError => hadError ? near.resetAndDestroy() : near.end());
        });
    }

    private track(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => this.sockets.delete(socket));
    }
}
