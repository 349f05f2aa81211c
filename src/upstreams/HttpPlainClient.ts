import { Pool } from "undici";
import type { PlainAnswer, PlainCall, PlainClient, PlainFailure } from "./types";

/** Options of {@link HttpPlainClient}. */
export interface HttpPlainClientOptions {
    readonly url: string;
    readonly connectTimeoutMs: number;
    /** Connections to one runner; default 64. */
    readonly maxConnections?: number;
}

const defaultMaxConnections = 64;
const neverSentCodes: readonly string[] = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH"];
const droppedHeaders: readonly string[] = ["connection", "keep-alive", "transfer-encoding", "content-length"];

/** Plain service over HTTP. */
export class HttpPlainClient implements PlainClient {
    private readonly pool: Pool;

    constructor(options: HttpPlainClientOptions) {
        this.pool = new Pool(options.url, {
            connections: options.maxConnections ?? defaultMaxConnections,
            pipelining: 1,
            connect: { timeout: options.connectTimeoutMs },
        });
    }

    async call(
        call: PlainCall,
    ): Promise<{ readonly answer: PlainAnswer; } | { readonly failure: PlainFailure; }> {
        try {
            const answer = await this.pool.request({
                method: call.method as "GET",
                path: call.path,
                headers: call.headers,
                body: call.body,
                idempotent: false,
                headersTimeout: call.timeoutMs,
                bodyTimeout: call.timeoutMs,
            });
            const body = Buffer.from(await answer.body.arrayBuffer());
            return { answer: { status: answer.statusCode, headers: pickHeaders(answer.headers), body } };
        }
        catch (error) {
            const code = (error as { code?: string; }).code ?? "";
            return { failure: { sent: !neverSentCodes.includes(code), message: (error as Error).message } };
        }
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }
}

const pickHeaders = (headers: Record<string, string | string[] | undefined>): Record<string, string> => {
    const picked: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !droppedHeaders.includes(name)) {
            picked[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return picked;
};
