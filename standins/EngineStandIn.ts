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
    /** Requests decoded at once; default 16. */
    readonly slots?: number;
    /** Time of one decoding step with one request running, in milliseconds; 0 sends without pause. Default 5. */
    readonly stepMs?: number;
    /** Prefill time, in milliseconds per token; default 0.02. */
    readonly prefillMsPerToken?: number;
    /** Blocks in the prefix cache; default 4,096. */
    readonly cacheBlocks?: number;
    /** How far load reports lag, in milliseconds; default 100. */
    readonly reportLagMs?: number;
    /** Whether the first token is sent as soon as the prefill is done, not with the next step; default false. */
    readonly sendsFirstTokenImmediately?: boolean;
    /** Whether orders with an old fencing number are refused; default true. */
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
    readonly total: number;
    readonly head: string;
    next: number;
    started: boolean;
    readyAtMs: number;
}

interface LoadSample {
    readonly atMs: number;
    readonly running: number;
    readonly queued: number;
}

const charactersPerToken = 4;
const burstTokens = 64; // tokens sent at a time by an engine without pause

/** Stand-in of a model engine with continuous batching, a prefix cache and streams that resume. */
export class EngineStandIn {
    readonly server = new StandInServer((request, response, body) => this.answer(request, response, body));
    private readonly running = new Map<string, RunningRequest>();
    private queue: RunningRequest[] = [];
    private readonly cache: PrefixCache;
    private readonly imported = new Map<string, number>();
    private readonly samples: LoadSample[] = [];
    private readonly options: Required<EngineStandInOptions>;
    private timer: NodeJS.Timeout | undefined;
    private readonly stats = { prefilledTokens: 0, recomputedTokens: 0, generatedTokens: 0 };
    private fencing = 0;
    private accepted = 0;
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
            ...options,
        };
        this.cache = new PrefixCache(this.options.cacheBlocks);
    }

    /** Requests decoding or waiting now. */
    get load(): number {
        return this.running.size + this.queue.length;
    }

    async stop(): Promise<void> {
        clearTimeout(this.timer);
        await this.server.stop();
    }

    private answer(request: IncomingMessage, response: ServerResponse, body: Buffer): unknown {
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
                this.imported.set(parse().requestId as string, parse().tokens as number);
                return {};
            case "/orders":
                return { outcome: this.takeOrder(parse() as unknown as EngineOrder) };
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
        this.accepted += 1;
        const request: RunningRequest = {
            body,
            response,
            key: body.attempt_id ?? `direct-${this.accepted}`,
            seed,
            prompt,
            total: countAnswerTokens(seed, body.max_tokens ?? undefined),
            head: `data: {"id":"chatcmpl-${id}","object":"chat.completion.chunk","created":0,`
                + `"model":${JSON.stringify(body.model)},"choices":[{"index":0,"delta":{"content":`,
            next: body.resume?.offset ?? 0,
            started: false,
            readyAtMs: 0,
        };
        response.on("close", () => this.cancel(request.key, request));
        this.queue.push(request);
        this.queue.sort((a, b) => (a.body.priority ?? 0) - (b.body.priority ?? 0));
        this.admit();
        return undefined;
    }

    /** Moves waiting requests into free slots and computes their prefill. */
    private admit(): void {
        while (this.queue.length > 0 && this.running.size < this.options.slots) {
            const request = this.queue.shift()!;
            const uncached = this.prefill(request);
            request.readyAtMs = Date.now() + uncached * this.options.prefillMsPerToken;
            this.running.set(request.key, request);
            if (this.options.sendsFirstTokenImmediately) {
                this.advance(request);
            }
        }
        this.sample();
        this.schedule();
    }

    private prefill(request: RunningRequest): number {
        const id = request.body.request_id ?? "";
        const produced = request.body.resume?.text ?? "";
        const context = Math.ceil((request.prompt.length + produced.length) / charactersPerToken);
        const blocks = hashPromptBlocks(request.prompt + produced);
        const cached = Math.max(
            this.cache.countCachedPrefix(blocks) * tokensPerBlock,
            this.imported.get(id) ?? 0,
        );
        const uncached = Math.max(0, context - cached);
        this.imported.delete(id);
        this.cache.addBlocks(blocks);
        this.stats.prefilledTokens += uncached;
        if ((request.body.attempt ?? 1) > 1 || request.body.resume) {
            this.stats.recomputedTokens += uncached;
        }
        return uncached;
    }

    private schedule(): void {
        if (this.timer !== undefined || this.running.size === 0) {
            return;
        }
        const stepMs = this.options.stepMs;
        if (stepMs === 0) {
            this.timer = setImmediate(() => this.step()) as unknown as NodeJS.Timeout;
            return;
        }
        this.timer = setTimeout(() => this.step(), stepMs * (1 + this.running.size / this.options.slots));
    }

    /** One decoding step: a token for each running request. */
    private step(): void {
        this.timer = undefined;
        const nowMs = Date.now();
        for (const request of [...this.running.values()]) {
            if (request.readyAtMs <= nowMs) {
                this.advance(request);
            }
        }
        this.admit();
    }

    private advance(request: RunningRequest): void {
        const { response } = request;
        if (!request.started) {
            request.started = true;
            response.writeHead(200, { "content-type": "text/event-stream" });
        }
        if (response.writableNeedDrain) {
            return;
        }
        const burst = this.options.stepMs === 0 ? burstTokens : 1;
        const end = Math.min(request.total, request.next + burst);
        let events = "";
        for (; request.next < end; request.next += 1) {
            const token = JSON.stringify(generateToken(request.seed, request.next));
            events += `id: ${request.next}\n${request.head}${token}},"finish_reason":null}]}\n\n`;
            this.stats.generatedTokens += 1;
        }
        const ended = request.next >= request.total;
        if (ended) {
            events += this.createEnd(request);
        }
        if (!this.server.isSilent(response)) {
            response.write(events);
            if (ended) {
                response.end();
            }
        }
        if (ended) {
            this.running.delete(request.key);
        }
    }

    private createEnd(request: RunningRequest): string {
        const promptTokens = Math.ceil(request.prompt.length / charactersPerToken);
        const usage = `{"prompt_tokens":${promptTokens},"completion_tokens":${request.total},`
            + `"total_tokens":${promptTokens + request.total}}`;
        const head = request.head.replace(
            /"delta":\{"content":$/,
            "\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":",
        );
        return `id: ${request.next}\n${head}${usage}}\n\nid: ${request.next + 1}\ndata: [DONE]\n\n`;
    }

    private cancel(key: string, request?: RunningRequest): void {
        if (!request || this.running.get(key) === request) {
            this.running.delete(key);
        }
        this.queue = this.queue.filter(waiting => request ? waiting !== request : waiting.key !== key);
        this.admit();
    }

    private exportCache(requestId: string): unknown {
        const request = [...this.running.values()].find(candidate => candidate.body.request_id === requestId);
        if (!request) {
            return new StandInResponse(404, { error: `request "${requestId}" is not running` });
        }
        const tokens = Math.ceil(request.prompt.length / charactersPerToken) + request.next;
        return { tokens, data: Buffer.alloc(tokens).toString("base64") };
    }

    private takeOrder(order: EngineOrder): string {
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

    private sample(): void {
        this.samples.push({ atMs: Date.now(), running: this.running.size, queued: this.queue.length });
        while (this.samples.length > 1 && this.samples[1].atMs < Date.now() - this.options.reportLagMs) {
            this.samples.shift();
        }
    }

    private readLoad(): unknown {
        this.sample();
        const { atMs, running, queued } = this.samples[0];
        return { running, queued, slots: this.options.slots, atMs };
    }
}
