import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/**
 * Kind of fault that a stand-in can inject: `outage` answers 503, `delay` delays every answer, `lose-answers` executes
 * requests and closes their connections, `silent` stops answering on the connections open at that moment, `reclaim`
 * announces the reclaim of the VM, and `none` ends the fault.
 */
export type FaultKind = "outage" | "delay" | "lose-answers" | "silent" | "reclaim" | "none";

/** A fault. It lasts until another one is set; a reclaim leaves the current fault in place. */
export interface Fault {
    readonly kind: FaultKind;
    /** Delay of answers or notice period of a reclaim, in milliseconds. */
    readonly ms?: number;
    /** VM to reclaim; only for the cloud stand-in. */
    readonly vmId?: string;
    /** Data centre of which all VMs are reclaimed; only for the cloud stand-in. */
    readonly dataCentre?: string;
}

/**
 * Handles one request.
 *
 * @returns the body to send as JSON with status 200, a {@link StandInResponse} for another status, or undefined when the
 *     handler has answered or will answer the request itself
 */
export type StandInHandler = (
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
) => Promise<unknown> | unknown;

/** A JSON response with a status other than 200. */
export class StandInResponse {
    constructor(readonly status: number, readonly body: unknown) {}
}

/** HTTP server of a stand-in. Faults are injected with {@link setFault} or `POST /fault`. */
export class StandInServer {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly silentSockets = new WeakSet<Socket>();
    private isReading = true;
    private fault: Fault = { kind: "none" };
    /** Called when a fault of kind `reclaim` is injected. */
    onReclaim: (fault: Fault) => void = () => {};

    constructor(private readonly handler: StandInHandler) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            if (!this.isReading) {
                process.nextTick(() => socket.pause()); // after the server has begun to read
            }
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
        this.closeConnections();
        await closed;
    }

    /** Closes all connections, as a process that ends does. */
    closeConnections(): void {
        this.server.closeAllConnections();
        this.sockets.forEach(socket => socket.destroy());
    }

    /**
     * Stops or goes on to read all connections, as a process that is stopped or busy. What arrives meanwhile waits in the
     * system, also on connections that are reset.
     */
    setReading(isReading: boolean): void {
        this.isReading = isReading;
        this.sockets.forEach(socket => isReading ? socket.resume() : socket.pause());
    }

    /** Injects a fault; kind `none` ends the current one. */
    setFault(fault: Fault): void {
        if (fault.kind === "reclaim") {
            this.onReclaim(fault);
            return;
        }
        this.fault = fault;
        if (fault.kind === "silent") {
            this.sockets.forEach(socket => this.silentSockets.add(socket));
        }
    }

    /** Whether the response's connection was open when the fault `silent` was injected; responses on it are dropped. */
    isSilent(response: ServerResponse): boolean {
        return response.socket !== null && this.silentSockets.has(response.socket);
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => {});
        try {
            const body = await readBody(request);
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
        const result = await this.handler(request, response, body);
        if (result === undefined) {
            return;
        }
        if (this.fault.kind === "lose-answers") {
            response.socket?.destroy();
            return;
        }
        if (this.isSilent(response)) {
            return;
        }
        if (result instanceof StandInResponse) {
            sendJson(response, result.status, result.body);
            return;
        }
        sendJson(response, 200, result);
    }
}

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
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
