import { createServer, type Server } from "node:http";
import type { Registry } from "prom-client";
import { createServiceName } from "../kernel/createServiceName";

/** Options of {@link MetricsServer}. */
export interface MetricsServerOptions {
    readonly host: string;
    readonly port: number;
    readonly registry: Registry;
}

/** Serves the metrics as text on an address of their own, at any path. */
export class MetricsServer {
    private readonly server: Server;

    constructor(private readonly options: MetricsServerOptions) {
        this.server = createServer((_request, response) => {
            options.registry.metrics().then(
                text => {
                    response.writeHead(200, { "content-type": options.registry.contentType });
                    response.end(text);
                },
                (error: unknown) => {
                    response.writeHead(500);
                    response.end(String(error));
                },
            );
        });
    }

    async start(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, () => resolve());
        });
    }

    async stop(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }
}

/** Name of the metrics server service. */
export const metricsServerName = createServiceName<MetricsServer>("metrics-server");
