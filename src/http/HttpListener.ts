import {
    createServer,
    type IncomingMessage,
    type Server,
    type ServerOptions,
    type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { ConnectionErrors } from "./ConnectionErrors";
import { ConnectionLimit } from "./ConnectionLimit";
import { PacedRequest } from "./PacedRequest";
import { PipelineLimit } from "./PipelineLimit";

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
    readonly host: string;
    /** Port to bind; 0 binds any free port. */
    readonly port: number;
    /** Handles one request. */
    readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
    /** Connections that may be open at the same time; default: no limit. */
    readonly maxConnections?: number;
    /** Options of the Node.js server; default: none. */
    readonly serverOptions?: Omit<ServerOptions, "IncomingMessage">;
}

/** HTTP server on one address, with a graceful shutdown. */
export class HttpListener {
    /** The Node.js server, for settings that may change while it runs. */
    readonly server: Server;
    private readonly connectionErrors = new ConnectionErrors();
    private readonly pipelineLimit = new PipelineLimit();
    /** Undefined where the connections have no limit. */
    readonly connectionLimit: ConnectionLimit | undefined;

    constructor(private readonly options: HttpListenerOptions) {
        this.server = createServer(
            { ...options.serverOptions, IncomingMessage: PacedRequest },
            (request, response) => this.receive(request, response),
        );
        const { maxConnections } = options;
        this.connectionLimit = maxConnections === undefined
            ? undefined
            : new ConnectionLimit({ maxConnections });
        this.server.on("connection", (socket: Socket) => this.connectionLimit?.add(socket));
        this.server.on(
            "clientError",
            (error, socket) => this.connectionErrors.handle(error, socket as Socket),
        );
    }

    /** Bound port; available only after {@link start}. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /**
     * Binds the address and starts listening.
     *
     * @throws Error if the address cannot be bound
     */
    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, () => resolve());
        });
    }

    /**
     * Stops listening, closes idle connections, and closes all others once `drain` has fulfilled.
     *
     * @param drain - waits for or ends the requests in flight; default: does not wait
     */
    async stop(drain: () => Promise<void> = async () => {}): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        await drain();
        this.server.closeAllConnections();
        await closed;
    }

    private receive(request: IncomingMessage, response: ServerResponse): void {
        if (this.pipelineLimit.isBeyond(request)) {
            return;
        }
        request.on("error", () => response.destroy());
        response.on("error", () => response.destroy());
        const openCount = this.connectionErrors.trackRequest(request, response);
        this.pipelineLimit.apply(request, response, openCount);
        this.connectionLimit?.track(request, response);
        this.options.onRequest(request, response);
    }
}
