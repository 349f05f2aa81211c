import { type Dispatcher, Pool, request } from "undici";
import { sendJson } from "../platform/sendJson";
import { EventSplitter } from "./EventSplitter";
import type {
    CacheEvent,
    CacheExport,
    EngineClient,
    EngineError,
    EngineOrder,
    EngineSink,
    EngineStart,
    EngineState,
    EngineStream,
    LoadReport,
    OrderOutcome,
} from "./types";

/** Options of {@link HttpEngineClient}. */
export interface HttpEngineClientOptions {
    readonly url: string;
    readonly timeoutMs: number;
    /** Streams open at once to one engine; default 2,048. */
    readonly maxConnections?: number;
}

const defaultMaxConnections = 2_048;
const keepAliveMs = 30_000;

/** Engine over HTTP: chat completions with numbered events, and the control calls of the stand-in. */
export class HttpEngineClient implements EngineClient {
    private readonly pool: Pool;

    constructor(private readonly options: HttpEngineClientOptions) {
        this.pool = new Pool(options.url, {
            connections: options.maxConnections ?? defaultMaxConnections,
            pipelining: 1,
            keepAliveTimeout: keepAliveMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: { timeout: options.timeoutMs },
        });
    }

    start(start: EngineStart, sink: EngineSink): EngineStream {
        const exchange = new EngineExchange(sink, () => this.cancelRemote(start));
        const body = {
            ...start.body,
            stream: true,
            request_id: start.requestId,
            attempt: start.attempt,
            attempt_id: start.attemptId,
            priority: start.priority,
            resume: start.offset > 0 ? { offset: start.offset, text: start.producedText } : undefined,
        };
        this.pool.dispatch({
            method: "POST",
            path: "/v1/chat/completions",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
        }, exchange);
        return exchange;
    }

    async exportCache(requestId: string): Promise<CacheExport | undefined> {
        const answer = await this.post("/kv/export", { requestId });
        if (answer.status !== 200) {
            return undefined;
        }
        const { tokens, data } = answer.body as { tokens: number; data: string; };
        return { tokens, body: Buffer.from(data, "base64") };
    }

    async importCache(requestId: string, cache: CacheExport): Promise<boolean> {
        const data = cache.body.toString("base64");
        const answer = await this.post("/kv/import", { requestId, tokens: cache.tokens, data });
        return answer.status === 200;
    }

    async readLoad(): Promise<LoadReport> {
        return (await this.get("/load")).body as LoadReport;
    }

    async readCacheEvents(after: number): Promise<readonly CacheEvent[]> {
        const answer = await this.get(`/cache-events?after=${after}`);
        return (answer.body as { events: CacheEvent[]; }).events;
    }

    async giveOrder(order: EngineOrder): Promise<OrderOutcome> {
        const answer = await this.post("/orders", order);
        return (answer.body as { outcome: OrderOutcome; }).outcome;
    }

    async readState(): Promise<EngineState> {
        return (await this.get("/state")).body as EngineState;
    }

    async close(): Promise<void> {
        await this.pool.destroy();
    }

    private cancelRemote(start: EngineStart): void {
        request(`${this.options.url}/attempts/${encodeURIComponent(start.attemptId)}/cancel`, {
            dispatcher: this.pool,
            method: "POST",
            signal: AbortSignal.timeout(this.options.timeoutMs),
        }).then(answer => answer.body.dump(), () => {});
    }

    private get(path: string): ReturnType<typeof sendJson> {
        const { timeoutMs, url } = this.options;
        return sendJson({ dispatcher: this.pool, url: `${url}${path}`, method: "GET", timeoutMs });
    }

    private post(path: string, body: unknown): ReturnType<typeof sendJson> {
        const { timeoutMs, url } = this.options;
        return sendJson({ dispatcher: this.pool, url: `${url}${path}`, method: "POST", body, timeoutMs });
    }
}

/** One streamed answer of an engine. Batches go to the sink without a promise for each. */
class EngineExchange implements Dispatcher.DispatchHandler, EngineStream {
    private readonly splitter = new EventSplitter();
    private controller: Dispatcher.DispatchController | undefined;
    private status = 0;
    private refusal = "";
    private closed = false;

    constructor(private readonly sink: EngineSink, private readonly cancelRemote: () => void) {}

    cancel(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.controller?.abort(new Error("the attempt was cancelled"));
        this.cancelRemote();
    }

    pause(): void {
        this.controller?.pause();
    }

    resume(): void {
        this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.closed) {
            controller.abort(new Error("the attempt was cancelled"));
        }
    }

    onResponseStart(_controller: Dispatcher.DispatchController, statusCode: number): void {
        this.status = statusCode;
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.closed) {
            return;
        }
        if (this.status !== 200) {
            this.refusal += chunk.toString("utf8");
            return;
        }
        try {
            const batch = this.splitter.push(chunk);
            if (batch) {
                this.sink.onBatch(batch);
            }
        }
        catch (error) {
            this.fail({ kind: "cut", message: (error as Error).message });
            this.controller?.abort(error as Error);
        }
    }

    onResponseEnd(): void {
        if (this.closed) {
            return;
        }
        if (this.status !== 200) {
            const kind = this.status >= 400 && this.status < 500 && this.status !== 429
                ? "bad-request"
                : "refused";
            this.fail({ kind, message: `the engine answered ${this.status}: ${this.refusal.slice(0, 200)}` });
            return;
        }
        if (!this.splitter.ended) {
            this.fail({ kind: "cut", message: "the engine ended the stream early" });
            return;
        }
        this.closed = true;
        this.sink.onEnd();
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
        this.fail({ kind: this.status === 0 ? "unreachable" : "cut", message: error.message });
    }

    private fail(error: EngineError): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.sink.onError(error);
    }
}
