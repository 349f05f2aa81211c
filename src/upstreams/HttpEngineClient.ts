import { request } from "undici";
import { sendJson } from "../platform/sendJson";
import { StagedSender } from "../platform/StagedSender";
import type { DutyStages } from "../platform/types";
import { collectBody } from "./collectBody";
import { NumberedEventBatcher } from "./NumberedEventBatcher";
import { UpstreamClient } from "./UpstreamClient";
import type {
    CacheEvent,
    CacheExport,
    EngineClient,
    EngineError,
    EngineOrder,
    EngineRequest,
    EngineSink,
    EngineState,
    EngineStream,
    LoadReport,
    OrderOutcome,
} from "./types";
import type { AnswerHead, UpstreamExchange } from "./UpstreamExchange";

/** Options of {@link HttpEngineClient}. */
export interface HttpEngineClientOptions {
    readonly url: string;
    readonly timeoutMs: number;
    /** Maximum number of connections, each with one stream; default 2,048. */
    readonly maxConnections?: number;
}

const defaultMaxConnections = 2_048;
const keepAliveMs = 30_000;
const maxOrderConnections = 1;
const maxRefusalBytes = 65_536;

/** Engine client over HTTP: chat completions as numbered server-sent events, and the stand-in's control API. */
export class HttpEngineClient implements EngineClient {
    private readonly client: UpstreamClient;
    private readonly orders: StagedSender;

    constructor(private readonly options: HttpEngineClientOptions) {
        this.client = new UpstreamClient({
            address: new URL(options.url).host,
            maxConnections: options.maxConnections ?? defaultMaxConnections,
            connectTimeoutMs: options.timeoutMs,
            keepAliveMs,
        });
        this.orders = new StagedSender({
            maxConnections: maxOrderConnections,
            timeoutMs: options.timeoutMs,
        });
    }

    start(engineRequest: EngineRequest, sink: EngineSink): EngineStream {
        const body = {
            ...engineRequest.body,
            stream: true,
            request_id: engineRequest.requestId,
            attempt: engineRequest.attempt,
            attempt_id: engineRequest.attemptId,
            priority: engineRequest.priority,
            resume: engineRequest.offset > 0
                ? { offset: engineRequest.offset, text: engineRequest.producedText }
                : undefined,
        };
        const exchange = this.client.send({
            method: "POST",
            path: "/v1/chat/completions",
            headers: ["content-type", "application/json"],
            body: Buffer.from(JSON.stringify(body)),
        });
        return new EngineExchange(exchange, sink, () => this.cancelRemoteAttempt(engineRequest));
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

    async sendOrder(order: EngineOrder, stages: DutyStages): Promise<OrderOutcome> {
        const answer = await this.orders.send({ url: `${this.options.url}/orders`, body: order, stages });
        return (answer.body as { outcome: OrderOutcome; }).outcome;
    }

    async readState(): Promise<EngineState> {
        return (await this.get("/state")).body as EngineState;
    }

    async close(): Promise<void> {
        await this.orders.close();
        await this.client.close();
    }

    private cancelRemoteAttempt(engineRequest: EngineRequest): void {
        request(`${this.options.url}/attempts/${encodeURIComponent(engineRequest.attemptId)}/cancel`, {
            dispatcher: this.client.dispatcher,
            method: "POST",
            signal: AbortSignal.timeout(this.options.timeoutMs),
        }).then(answer => answer.body.dump(), () => {});
    }

    private get(path: string): ReturnType<typeof sendJson> {
        const { timeoutMs, url } = this.options;
        return sendJson({
            dispatcher: this.client.dispatcher,
            url: `${url}${path}`,
            method: "GET",
            timeoutMs,
        });
    }

    private post(path: string, body: unknown): ReturnType<typeof sendJson> {
        const { timeoutMs, url } = this.options;
        return sendJson({
            dispatcher: this.client.dispatcher,
            url: `${url}${path}`,
            method: "POST",
            body,
            timeoutMs,
        });
    }
}

/** One streamed answer of an engine. Batches are passed to the sink by calls, which costs no promise per batch. */
class EngineExchange implements EngineStream {
    private readonly batcher = new NumberedEventBatcher();
    private isClosed = false;

    constructor(
        private readonly exchange: UpstreamExchange,
        private readonly sink: EngineSink,
        private readonly cancelRemoteAttempt: () => void,
    ) {
        void this.readAnswer();
    }

    cancel(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.exchange.abort("attempt cancelled");
        this.cancelRemoteAttempt();
    }

    pause(): void {
        this.exchange.pause();
    }

    resume(): void {
        this.exchange.resume();
    }

    /** Reads the answer to its end. Cannot reject, as the exchange's promises never do. */
    private async readAnswer(): Promise<void> {
        const start = await this.exchange.started;
        if (start.kind === "failed") {
            this.fail({ kind: "unreachable", message: start.message });
            return;
        }
        if (start.head.status !== 200) {
            await this.reportRefusal(start.head);
            return;
        }
        this.exchange.listen(chunk => this.receive(chunk));
        const end = await this.exchange.ended;
        if (!end.isWhole || !this.batcher.isComplete) {
            this.fail({
                kind: "cut",
                message: end.message ?? "engine ended the stream before the [DONE] event",
            });
            return;
        }
        if (!this.isClosed) {
            this.isClosed = true;
            this.sink.onEnd();
        }
    }

    private receive(chunk: Buffer): void {
        if (this.isClosed) {
            return;
        }
        try {
            const batch = this.batcher.push(chunk);
            if (batch) {
                this.sink.onBatch(batch);
            }
        }
        catch (error) {
            this.fail({ kind: "cut", message: (error as Error).message });
            this.exchange.abort("event stream could not be parsed");
        }
    }

    private async reportRefusal({ status }: AnswerHead): Promise<void> {
        const collected = await collectBody(this.exchange, { maxBytes: maxRefusalBytes });
        const text = collected.kind === "whole" ? collected.body.toString("utf8") : collected.message;
        const isBadRequest = status >= 400 && status < 500 && status !== 429;
        this.fail({
            kind: isBadRequest ? "bad-request" : "refused",
            message: `engine answered with status ${status}: ${text.slice(0, 200)}`,
        });
    }

    private fail(error: EngineError): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.sink.onError(error);
    }
}
