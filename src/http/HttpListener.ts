import {
    createServer,
    type IncomingMessage,
    type Server,
    type ServerOptions,
    type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Options of {@link HttpListener}. */
export interface HttpListenerOptions {
    readonly host: string;
    /** 0 takes a free one. */
    readonly port: number;
    /** Called for each exchange. */
    readonly onRequest: (request: IncomingMessage, response: ServerResponse) => void;
    readonly serverOptions?: ServerOptions;
}

/** HTTP server on one address, from its start to the end of its last connection. */
export class HttpListener {
    /** The library's server, for settings that may change while it runs. */
    readonly server: Server;

    constructor(private readonly options: HttpListenerOptions) {
        this.server = createServer(options.serverOptions ?? {}, (request, response) => {
            request.on("error", () => response.destroy());
            response.on("error", () => response.destroy());
            options.onRequest(request, response);
        });
    }

    /** Port that is listened on; known after {@link start}. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** @throws Error when the address cannot be bound */
    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, () => resolve());
        });
    }

    /**
     * Stops listening, and closes every connection once `finish` has settled.
     *
     * @param drain - waits for or ends the open exchanges; default: none are waited for
     */
    async stop(drain: () => Promise<void> = async () => {}): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        this.server.closeIdleConnections();
        await drain();
        this.server.closeAllConnections();
        await closed;
    }
}
