import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Kind of fault that a stand-in can be switched to. */
export type FaultKind = "outage" | "delay" | "lose-answers" | "silent" | "reclaim" | "none";

/** A fault; it lasts until `none`. */
export interface Fault {
    readonly kind: FaultKind;
    /** Delay, or notice of a reclaim, in milliseconds. */
    readonly ms?: number;
    /** VM that is reclaimed; for the cloud. */
    readonly vmId?: string;
    /** Data centre whose VMs are all reclaimed; for the cloud. */
    readonly dataCentre?: string;
}

/** Answers one request; what it returns is sent as JSON with status 200, undefined when it answered itself. */
export type StandInHandler = (
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
) => Promise<unknown> | unknown;

/** An answer with a status of its own. */
export class StandInResponse {
    constructor(readonly status: number, readonly body: unknown) {}
}

/** HTTP server of a stand-in with its fault switch. Silence takes the connections that are open at that moment. */
export class StandInServer {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly silenced = new WeakSet<Socket>();
    private fault: Fault = { kind: "none" };
    /** Called when the stand-in is told that it is reclaimed. */
    onReclaim: (fault: Fault) => void = () => {};

    constructor(private readonly handler: StandInHandler) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
            socket.on("error", () => {});
        });
    }

    /** Base URL; known after {@link start}. */
    get url(): string {
        return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    get currentFault(): Fault {
        return this.fault;
    }

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeAllConnections();
        this.sockets.forEach(socket => socket.destroy());
        await closed;
    }

    /** Switches a fault on, or all off. */
    setFault(fault: Fault): void {
        if (fault.kind === "reclaim") {
            this.onReclaim(fault);
            return;
        }
        this.fault = fault;
        if (fault.kind === "silent") {
            this.sockets.forEach(socket => this.silenced.add(socket));
        }
    }

    /** Whether a response's connection went silent. */
    isSilent(response: ServerResponse): boolean {
        return response.socket !== null && this.silenced.has(response.socket);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => {});
        try {
            const body = await readAll(request);
            if (request.method === "POST" && request.url === "/fault") {
                this.setFault(JSON.parse(body.toString("utf8")) as Fault);
                sendJson(response, 200, { fault: this.fault.kind });
                return;
            }
            await this.serveWithFault(request, response, body);
        }
        catch (error) {
            if (!response.headersSent) {
                sendJson(response, 500, { error: String(error) });
            }
        }
    }

    private async serveWithFault(
        request: IncomingMessage,
        response: ServerResponse,
        body: Buffer,
    ): Promise<void> {
        const fault = this.fault;
        if (fault.kind === "outage") {
            sendJson(response, 503, { error: "outage" });
            return;
        }
        if (this.isSilent(response)) {
            return;
        }
        if (fault.kind === "delay") {
            await new Promise(resolve => setTimeout(resolve, fault.ms ?? 0));
        }
        const answer = await this.handler(request, response, body);
        if (answer === undefined) {
            return;
        }
        if (this.fault.kind === "lose-answers") {
            response.socket?.destroy();
            return;
        }
        if (this.isSilent(response)) {
            return;
        }
        if (answer instanceof StandInResponse) {
            sendJson(response, answer.status, answer.body);
            return;
        }
        sendJson(response, 200, answer);
    }
}

const readAll = async (request: IncomingMessage): Promise<Buffer> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
};

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
};
