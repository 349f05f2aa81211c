import type { IncomingMessage, ServerResponse } from "node:http";
import { hashToUint32 } from "../src/_lib/hashToUint32";
import { hashPromptBlocks, tokensPerBlock } from "../src/routing/PrefixIndex";
import type { ChatBody } from "../src/streams/chatBodySchema";
import { extractPromptText } from "../src/streams/extractPromptText";
import type { EngineOrder } from "../src/upstreams/types";
import { countAnswerTokens, generateToken } from "./generateToken";
import { PrefixCache } from "./PrefixCache";
import { StandInResponse, StandInServer } from "./StandInServer";

/** Options of {@link EngineStandIn}. */
export interface EngineStandInOptions {
    /** Maximum number of requests decoded concurrently; default 16. */
    readonly slots?: number;
    /**
     * Base duration of a decoding step, in milliseconds; it grows to twice that when all slots are in use. 0 sends
     * tokens without delay. Default 5.
     */
    readonly stepMs?: number;
    /** Prefill time per token that is not cached, in milliseconds; default 0.02. */
    readonly prefillMsPerToken?: number;
    /** Capacity of the prefix cache, in blocks; default 4,096. */
    readonly cacheBlocks?: number;
    /** Age of the load that is reported, in milliseconds; default 100. */
    readonly reportLagMs?: number;
    /** Whether the first token is sent when a request enters a slot instead of with the next step; default false. */
    readonly sendsFirstTokenImmediately?: boolean;
    /** Text of prompts under which the connection breaks off as soon as the answer begins; default none. */
    readonly breaksOffAt?: string;
    /** Whether orders with an outdated fencing token are refused; default true. */
    readonly checksFencing?: boolean;
}

interface EngineBody extends ChatBody {
    readonly request_id?: string;
    readonly attempt?: number;
    readonly attempt_id?: string;
    readonly priority?: number;
    readonly resume?: { readonly offset: number; readonly text: string; };
}

interface RunningRequest {
    readonly body: EngineBody;
    readonly response: ServerResponse;
    readonly key: string;
    readonly seed: number;
    readonly prompt: string;
    readonly tokenCount: number;
    readonly chunkPrefix: string;
    nextToken: number;
    isStarted: boolean;
    prefilledAtMs: number;
}

interface LoadSample {
    readonly atMs: number;
    readonly running: number;
    readonly queued: number;
}

const charactersPerToken = 4;
const headLeadMs = 5;
const unpacedBurstTokens = 64; // tokens sent per step when `stepMs` is 0

/** Stand-in for a model engine with continuous batching, a prefix cache and resumable streams. */
export class EngineStandIn {
    readonly server = new StandInServer((request, response, body) => this.handle(request, response, body));
    /** Number of answers that broke off as soon as they began. */
    brokenOff = 0;
    private readonly running = new Map<string, RunningRequest>();
    private queue: RunningRequest[] = [];
    private readonly cache: PrefixCache;
    private readonly importedTokens = new Map<string, number>();
    private readonly loadSamples: LoadSample[] = [];
    private readonly options:
        & Required<Omit<EngineStandInOptions, "breaksOffAt">>
        & Pick<EngineStandInOptions, "breaksOffAt">;
    private timer: NodeJS.Timeout | undefined;
    private readonly stats = { prefilledTokens: 0, recomputedTokens: 0, generatedTokens: 0 };
    private fencing = 0;
    private acceptedCount = 0;
    private models: string[] = [];
    private role = "serve";

    constructor(options: EngineStandInOptions = {}) {
        this.options = {
            slots: 16,
            stepMs: 5,
            prefillMsPerToken: 0.02,
            cacheBlocks: 4_096,
            reportLagMs: 100,
            sendsFirstTokenImmediately: false,
            checksFencing: true,
            breaksOffAt: undefined,
            ...options,
        };
        this.cache = new PrefixCache(this.options.cacheBlocks);
    }

    /** Number of running and queued requests. */
    get load(): number {
        return this.running.size + this.queue.length;
    }

    async stop(): Promise<void> {
        clearTimeout(this.timer);
        await this.server.stop();
    }

    private handle(request: IncomingMessage, response: ServerResponse, body: Buffer): unknown {
        const url = new URL(request.url ?? "/", "http://engine");
        const parse = (): Record<string, unknown> =>
            JSON.parse(body.toString("utf8")) as Record<string, unknown>;
        if (url.pathname.startsWith("/attempts/")) {
            this.cancel(decodeURIComponent(url.pathname.split("/")[2]));
            return {};
        }
        switch (url.pathname) {
            case "/v1/chat/completions":
                return this.accept(parse() as unknown as EngineBody, response);
            case "/load":
                return this.readLoad();
            case "/cache-events":
                return { events: this.cache.listEvents(Number(url.searchParams.get("after") ?? 0)) };
            case "/kv/export":
                return this.exportCache(parse().requestId as string);
            case "/kv/import":
                this.importedTokens.set(parse().requestId as string, parse().tokens as number);
                return {};
            case "/orders":
                return { outcome: this.applyOrder(parse() as unknown as EngineOrder) };
            case "/state":
                return { models: this.models, role: this.role, fencing: this.fencing };
            case "/stats":
                return this.stats;
        }
        return new StandInResponse(404, { error: `path "${url.pathname}" does not exist` });
    }

    private accept(body: EngineBody, response: ServerResponse): unknown {
        if (!Array.isArray(body.messages)) {
            return new StandInResponse(400, { error: "messages are missing" });
        }
        const prompt = extractPromptText(body);
        const seed = hashToUint32(prompt);
        const id = body.request_id ?? "direct";
        this.acceptedCount += 1;
        const request: RunningRequest = {
            body,
            response,
            key: body.attempt_id ?? `direct-${this.acceptedCount}`,
            seed,
            prompt,
            tokenCount: countAnswerTokens(seed, body.max_tokens ?? undefined),
            chunkPrefix: `data: {"id":"chatcmpl-${id}","object":"chat.completion.chunk","created":0,`
                + `"model":${JSON.stringify(body.model)},"choices":[{"index":0,"delta":{"content":`,
            nextToken: body.resume?.offset ?? 0,
            isStarted: false,
            prefilledAtMs: 0,
        };
        response.on("close", () => this.cancel(request.key, request));
        this.queue.push(request);
        this.queue.sort((a, b) => (a.body.priority ?? 0) - (b.body.priority ?? 0));
        this.startWaiting();
        return undefined;
    }

    /** Moves queued requests into free slots and prefills them. */
    private startWaiting(): void {
        while (this.queue.length > 0 && this.running.size < this.options.slots) {
            const request = this.queue.shift()!;
            const uncachedTokens = this.prefill(request);
            request.prefilledAtMs = Date.now() + uncachedTokens * this.options.prefillMsPerToken;
            this.running.set(request.key, request);
            if (this.options.sendsFirstTokenImmediately) {
                this.sendTokens(request);
            }
        }
        this.recordLoad();
        this.scheduleStep();
    }

    private prefill(request: RunningRequest): number {
        const id = request.body.request_id ?? "";
        const produced = request.body.resume?.text ?? "";
        const contextTokens = Math.ceil((request.prompt.length + produced.length) / charactersPerToken);
        const blocks = hashPromptBlocks(request.prompt + produced);
        const cachedTokens = Math.max(
            this.cache.countCachedPrefix(blocks) * tokensPerBlock,
            this.importedTokens.get(id) ?? 0,
        );
        const uncachedTokens = Math.max(0, contextTokens - cachedTokens);
        this.importedTokens.delete(id);
        this.cache.addBlocks(blocks);
        this.stats.prefilledTokens += uncachedTokens;
        if ((request.body.attempt ?? 1) > 1 || request.body.resume) {
            this.stats.recomputedTokens += uncachedTokens;
        }
        return uncachedTokens;
    }

    private scheduleStep(): void {
        if (this.timer !== undefined || this.running.size === 0) {
            return;
        }
        const stepMs = this.options.stepMs;
        if (stepMs === 0) {
            this.timer = setImmediate(() => this.runStep()) as unknown as NodeJS.Timeout;
            return;
        }
        this.timer = setTimeout(() => this.runStep(), stepMs * (1 + this.running.size / this.options.slots));
    }

    /** Runs one decoding step, which sends a token of each prefilled request. */
    private runStep(): void {
        this.timer = undefined;
        const nowMs = Date.now();
        for (const request of [...this.running.values()]) {
            if (request.prefilledAtMs <= nowMs) {
                this.sendTokens(request);
            }
        }
        this.startWaiting();
    }

    private sendTokens(request: RunningRequest): void {
        const { response } = request;
        if (!request.isStarted) {
            request.isStarted = true;
            response.writeHead(200, { "content-type": "text/event-stream" });
        }
        if (this.options.breaksOffAt !== undefined && request.prompt.includes(this.options.breaksOffAt)) {
            this.breakOff(request);
            return;
        }
        if (response.writableNeedDrain) {
            return;
        }
        const maxTokens = this.options.stepMs === 0 ? unpacedBurstTokens : 1;
        const end = Math.min(request.tokenCount, request.nextToken + maxTokens);
        let events = "";
        for (; request.nextToken < end; request.nextToken += 1) {
            const token = JSON.stringify(generateToken(request.seed, request.nextToken));
            events += `id: ${request.nextToken}\n${request.chunkPrefix}${token}},"finish_reason":null}]}\n\n`;
            this.stats.generatedTokens += 1;
        }
        const isComplete = request.nextToken >= request.tokenCount;
        if (isComplete) {
            events += this.createFinalEvents(request);
        }
        if (!this.server.isSilent(response)) {
            response.write(events);
            if (isComplete) {
                response.end();
            }
        }
        if (isComplete) {
            this.running.delete(request.key);
        }
    }

    private breakOff({ key, response }: RunningRequest): void {
        this.brokenOff += 1;
        this.running.delete(key);
        response.flushHeaders();
        setTimeout(() => response.destroy(), headLeadMs);
    }

    private createFinalEvents(request: RunningRequest): string {
        const promptTokens = Math.ceil(request.prompt.length / charactersPerToken);
        const usage = `{"prompt_tokens":${promptTokens},"completion_tokens":${request.tokenCount},`
            + `"total_tokens":${promptTokens + request.tokenCount}}`;
        const head = request.chunkPrefix.replace(
            /"delta":\{"content":$/,
            "\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":",
        );
        return `id: ${request.nextToken}\n${head}${usage}}\n\nid: ${request.nextToken + 1}\ndata: [DONE]\n\n`;
    }

    private cancel(key: string, request?: RunningRequest): void {
        if (!request || this.running.get(key) === request) {
            this.running.delete(key);
        }
        this.queue = this.queue.filter(waiting => request ? waiting !== request : waiting.key !== key);
        this.startWaiting();
    }

    private exportCache(requestId: string): unknown {
        const request = [...this.running.values()].find(candidate => candidate.body.request_id === requestId);
        if (!request) {
            return new StandInResponse(404, { error: `request "${requestId}" is not running` });
        }
        const tokens = Math.ceil(request.prompt.length / charactersPerToken) + request.nextToken;
        return { tokens, data: Buffer.alloc(tokens).toString("base64") };
    }

    private applyOrder(order: EngineOrder): string {
        if (this.options.checksFencing && order.fencing < this.fencing) {
            return "stale-fencing";
        }
        this.fencing = Math.max(this.fencing, order.fencing);
        if (order.kind === "set-role") {
            this.role = order.value;
        }
        else if (!this.models.includes(order.value)) {
            this.models.push(order.value);
        }
        return "done";
    }

    private recordLoad(): void {
        this.loadSamples.push({ atMs: Date.now(), running: this.running.size, queued: this.queue.length });
        while (
            this.loadSamples.length > 1 && this.loadSamples[1].atMs < Date.now() - this.options.reportLagMs
        ) {
            this.loadSamples.shift();
        }
    }

    private readLoad(): unknown {
        this.recordLoad();
        const { atMs, running, queued } = this.loadSamples[0];
        return { running, queued, slots: this.options.slots, atMs };
    }
}
