import { selectAnswerHeaders } from "../http/selectAnswerHeaders";
import { collectWhole } from "./collectWhole";
import { ForwardClient } from "./ForwardClient";
import type { PlainAnswer, PlainCall, PlainClient, PlainFailure } from "./types";
import type { AnswerHead, UpstreamExchange } from "./UpstreamExchange";

/** Options of {@link HttpPlainClient}. */
export interface HttpPlainClientOptions {
    readonly url: string;
    readonly connectTimeoutMs: number;
    /** Connections to one runner; default 64. */
    readonly maxConnections?: number;
}

const defaultMaxConnections = 64;
const maxAnswerBytes = 67_108_864;

/** Plain service over HTTP. */
export class HttpPlainClient implements PlainClient {
    private readonly client: ForwardClient;

    constructor(options: HttpPlainClientOptions) {
        this.client = new ForwardClient({
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
            () => exchange.abort(`no whole answer came in ${call.timeoutMs} ms`),
            call.timeoutMs,
        );
        try {
            return await collectAnswer(exchange);
        }
        finally {
            clearTimeout(timer);
        }
    }

    async close(): Promise<void> {
        await this.client.close();
    }
}

const collectAnswer = async (
    exchange: UpstreamExchange,
): Promise<{ readonly answer: PlainAnswer; } | { readonly failure: PlainFailure; }> => {
    const start = await exchange.started;
    if (start.kind === "failed") {
        return { failure: { sent: start.isSent, message: start.message } };
    }
    const collected = await collectWhole(exchange, maxAnswerBytes);
    return collected.kind === "whole"
        ? { answer: { status: start.head.status, headers: joinHeaders(start.head), body: collected.body } }
        : { failure: { sent: true, message: collected.message } };
};

const joinHeaders = (head: AnswerHead): Record<string, string> => {
    const joined: Record<string, string> = {};
    for (const [name, value] of Object.entries(selectAnswerHeaders(head.headers))) {
        if (value !== undefined) {
            joined[name] = Array.isArray(value) ? value.join(", ") : String(value);
        }
    }
    return joined;
};
