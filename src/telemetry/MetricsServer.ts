import type { IncomingMessage, ServerResponse } from "node:http";
import type { Registry } from "prom-client";
import { HttpListener } from "../http/HttpListener";
import { createServiceName } from "../kernel/createServiceName";

/** Options of {@link MetricsServer}. */
export interface MetricsServerOptions {
    readonly host: string;
    readonly port: number;
    readonly registry: Registry;
    /** Connections that may be open at the same time; default: no limit. */
    readonly maxConnections?: number;
}

/** Serves the metrics in Prometheus text format on a separate address, under any path. */
export class MetricsServer {
    private readonly listener: HttpListener;

    constructor({ host, port, registry, maxConnections }: MetricsServerOptions) {
        const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
            request.resume();
            registry.metrics().then(
                text => {
                    response.writeHead(200, { "content-type": registry.contentType });
                    response.end(text);
                },
                (error: unknown) => {
                    response.writeHead(500);
                    response.end(String(error));
                },
            );
        };
        this.listener = new HttpListener({ host, port, maxConnections, onRequest });
    }

    async start(): Promise<void> {
        await this.listener.start();
    }

    async stop(): Promise<void> {
        await this.listener.stop();
    }
}

/** Name under which the metrics server is registered as a service. */
export const metricsServerName = createServiceName<MetricsServer>("metrics-server");
