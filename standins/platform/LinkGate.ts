import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** How a cut link shows: its bytes are held until it is restored, or its connections are reset and new ones refused. */
export type LinkCut = "hold" | "reset";

interface Connection {
    readonly near: Socket;
    readonly far: Socket;
}

/** A link from one node to a server, which can be cut. */
export class LinkGate {
    private cut: LinkCut | undefined;
    private readonly server: Server = createServer({ pauseOnConnect: true }, near => this.accept(near));
    private readonly connections = new Set<Connection>();
    private readonly waiting = new Set<Socket>();

    /**
     * @param target - host and port of the server
     */
    constructor(private readonly target: string) {}

    /** Host and port that lead to the server; available after {@link start}. */
    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    async stop(): Promise<void> {
        this.interrupt("reset");
        this.waiting.forEach(near => near.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    /** Cuts the link. */
    interrupt(cut: LinkCut): void {
        this.cut = cut;
        for (const { near, far } of this.connections) {
            if (cut === "reset") {
                near.resetAndDestroy();
                far.destroy();
            }
            else {
                near.unpipe().pause();
                far.unpipe().pause();
            }
        }
    }

    /** Ends the cut; what was held goes on. */
    restore(): void {
        this.cut = undefined;
        this.connections.forEach(joinBoth);
        this.waiting.forEach(near => this.open(near));
        this.waiting.clear();
    }

    private accept(near: Socket): void {
        near.on("error", () => {});
        if (this.cut === "reset") {
            near.resetAndDestroy();
        }
        else if (this.cut === "hold") {
            this.waiting.add(near);
            near.on("close", () => this.waiting.delete(near));
        }
        else {
            this.open(near);
        }
    }

    private open(near: Socket): void {
        const [host, port] = this.target.split(":");
        const connection = { near, far: connect(Number(port), host) };
        const { far } = connection;
        this.connections.add(connection);
        far.on("error", () => {});
        near.on("close", () => far.destroy());
        far.on("close", () => {
            near.destroy();
            this.connections.delete(connection);
        });
        joinBoth(connection);
    }
}

const joinBoth = ({ near, far }: Connection): void => {
    near.pipe(far);
    far.pipe(near);
};
