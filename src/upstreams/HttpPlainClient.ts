import { selectResponseHeaders } from "../http/selectResponseHeaders";
import { AnswerMemory, type HeldMemory } from "./AnswerMemory";
import { collectBody } from "./collectBody";
import { UpstreamClient } from "./UpstreamClient";
import type { PlainAnswer, PlainCall, PlainClient, PlainFailure } from "./types";
import type { AnswerHead, UpstreamExchange } from "./UpstreamExchange";

/** Options of {@link HttpPlainClient}. */
export interface HttpPlainClientOptions {
    readonly url: string;
    readonly connectTimeoutMs: number;
    /** Maximum number of connections to the runner; default 64. */
    readonly maxConnections?: number;
    /** Memory for collected answers; default: a limit of this client alone. */
    readonly memory?: AnswerMemory;
}

const defaultMaxConnections = 64;
const maxAnswerBytes = 67_108_864;

/** Client of a plain service's runner over HTTP. */
export class HttpPlainClient implements PlainClient {
    private readonly client: UpstreamClient;
    private readonly memory: AnswerMemory;

    constructor(options: HttpPlainClientOptions) {
        this.memory = options.memory ?? new AnswerMemory();
        this.client = new UpstreamClient({
            address: new URL(options.url).host,
            maxConnections: options.maxConnections ?? defaultMaxConnections,
            connectTimeoutMs: options.connectTimeoutMs,
        });
    }

    async call(
        call: PlainCall,
    ): Promise<{ readonly answer: PlainAnswer; } | { readonly failure: PlainFailure; }> {
        const exchange = this.client.send({
            method: call.method,
            path: call.path,
            headers: Object.entries(call.headers).flat(),
            body: call.body,
        });
        const timer = setTimeout(
            () => exchange.abort(`no complete answer within ${call.timeoutMs} ms`),
            call.timeoutMs,
        );
        const memory = this.memory.hold();
        try {
            return await collectAnswer(exchange, memory);
        }
        finally {
            memory.release();
            clearTimeout(timer);
        }
    }

    async close(): Promise<void> {
        await this.client.close();
    }
}

const collectAnswer = async (
    exchange: UpstreamExchange,
    memory: HeldMemory,
): Promise<{ readonly answer: PlainAnswer; } | { readonly failure: PlainFailure; }> => {
    const start = await exchange.started;
    if (start.kind === "failed") {
        return { failure: { isSent: start.isSent, message: start.message } };
    }
    const collected = await collectBody(exchange, { maxBytes: maxAnswerBytes, memory });
    return collected.kind === "whole"
        ? { answer: { status: start.head.status, headers: joinHeaders(start.head), body: collected.body } }
        : { failure: { isSent: true, message: collected.message } };
};

/** Converts the answer's headers to a record; repeated headers are joined with commas. */
const joinHeaders = (head: AnswerHead): Record<string, string> => {
    const joined: Record<string, string> = {};
    for (const [name, value] of Object.entries(selectResponseHeaders(head.headers))) {
        if (value !== undefined) {
            joined[name] = Array.isArray(value) ? value.join(", ") : String(value);
        }
    }
    return joined;
};
