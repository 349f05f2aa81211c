import type { Clock } from "../../src/kernel/types";
import { hashPromptBlocks, tokensPerBlock } from "../../src/routing/PrefixIndex";
import type { ChatBody } from "../../src/streams/chatBodySchema";
import { extractPromptText } from "../../src/streams/extractPromptText";
import type {
    CacheEvent,
    CacheExport,
    EngineClient,
    EngineRequest,
    EngineSink,
    EngineState,
    EngineStream,
    LoadReport,
    OrderOutcome,
} from "../../src/upstreams/types";
import { PrefixCache } from "../../standins/PrefixCache";

/** Options of {@link FakeEngine}. */
export interface FakeEngineOptions {
    readonly clock: Clock;
    readonly slots: number;
    /** Time between tokens with one request running; it doubles when all slots are taken. */
    readonly stepMs: number;
    readonly prefillMsPerToken: number;
    readonly cacheBlocks: number;
    /** Tokens that were produced of each request at any engine; shared by all engines. */
    readonly producedTokens: Map<string, number>;
    /** How far load reports lag, in milliseconds. */
    readonly reportLagMs: number;
    /** How far cache events lag, in milliseconds. */
    readonly cacheLagMs: number;
}

interface Running {
    readonly start: EngineRequest;
    readonly sink: EngineSink;
    readonly total: number;
    readonly contextTokens: number;
    next: number;
    delivered: number;
    readyAtMs: number;
}

const charactersPerToken = 4;
const tokensPerDelivery = 4;

/** Model engine in memory and virtual time: continuous batching, prefix cache, resume, KV export and import. */
export class FakeEngine implements EngineClient {
    readonly stats = { prefilledTokens: 0, recomputedTokens: 0, generatedTokens: 0 };
    private readonly running = new Set<Running>();
    private waiting: Running[] = [];
    private readonly cache: PrefixCache;
    private readonly imported = new Map<string, number>();
    private readonly reports: LoadReport[] = [];
    private readonly cacheSeen: { readonly atMs: number; readonly events: readonly CacheEvent[]; }[] = [];
    private stepping = false;
    private dead = false;

    constructor(private readonly options: FakeEngineOptions) {
        this.cache = new PrefixCache(options.cacheBlocks);
    }

    start(start: EngineRequest, sink: EngineSink): EngineStream {
        const body = start.body as ChatBody;
        const contextTokens = Math.ceil(
            (extractPromptText(body).length + start.producedText.length) / charactersPerToken,
        );
        const request: Running = {
            start,
            sink,
            total: body.max_tokens ?? 128,
            contextTokens,
            next: start.offset,
            delivered: start.offset,
            readyAtMs: 0,
        };
        if (this.dead) {
            queueMicrotask(() => sink.onError({ kind: "unreachable", message: "the runner is gone" }));
            return { cancel: () => {}, pause: () => {}, resume: () => {} };
        }
        this.waiting.push(request);
        this.waiting.sort((a, b) => a.start.priority - b.start.priority);
        this.admit();
        return { cancel: () => this.remove(request), pause: () => {}, resume: () => {} };
    }

    async exportCache(requestId: string): Promise<CacheExport | undefined> {
        const request = [...this.running].find(candidate => candidate.start.requestId === requestId);
        return request
            && { tokens: request.contextTokens + request.next - request.start.offset, body: Buffer.alloc(0) };
    }

    async importCache(requestId: string, cache: CacheExport): Promise<boolean> {
        this.imported.set(requestId, cache.tokens);
        return !this.dead;
    }

    async readLoad(): Promise<LoadReport> {
        if (this.dead) {
            throw new Error("the runner is gone");
        }
        const nowMs = this.options.clock.readMonotonicMs();
        this.reports.push({
            running: this.running.size,
            queued: this.waiting.length,
            slots: this.options.slots,
            atMs: nowMs,
        });
        while (this.reports.length > 1 && this.reports[1].atMs <= nowMs - this.options.reportLagMs) {
            this.reports.shift();
        }
        return this.reports[0];
    }

    async readCacheEvents(after: number): Promise<readonly CacheEvent[]> {
        const nowMs = this.options.clock.readMonotonicMs();
        this.cacheSeen.push({ atMs: nowMs, events: this.cache.listEvents(0) });
        while (this.cacheSeen.length > 1 && this.cacheSeen[1].atMs <= nowMs - this.options.cacheLagMs) {
            this.cacheSeen.shift();
        }
        return this.cacheSeen[0].events.filter(event => event.sequence > after);
    }

    async sendOrder(): Promise<OrderOutcome> {
        return "done";
    }

    async readState(): Promise<EngineState> {
        return { models: [], role: "serve", fencing: 0 };
    }

    async close(): Promise<void> {
        // Nothing is open.
    }

    /** Ends the engine; its streams are cut. */
    kill(): void {
        this.dead = true;
        const cut = [...this.running, ...this.waiting];
        this.running.clear();
        this.waiting = [];
        cut.forEach(request => request.sink.onError({ kind: "cut", message: "the runner is gone" }));
    }

    private admit(): void {
        while (this.waiting.length > 0 && this.running.size < this.options.slots) {
            const request = this.waiting.shift()!;
            request.readyAtMs = this.options.clock.readMonotonicMs()
                + this.prefill(request) * this.options.prefillMsPerToken;
            this.running.add(request);
        }
        if (!this.stepping && this.running.size > 0) {
            this.stepping = true;
            void this.stepUntilIdle();
        }
    }

    private prefill(request: Running): number {
        const { start } = request;
        const prompt = extractPromptText(start.body as ChatBody);
        const blocks = hashPromptBlocks(prompt + start.producedText);
        const cached = Math.max(
            this.cache.countCachedPrefix(blocks) * tokensPerBlock,
            this.imported.get(start.requestId) ?? 0,
        );
        const uncached = Math.max(0, request.contextTokens - cached);
        this.imported.delete(start.requestId);
        this.cache.addBlocks(blocks);
        this.stats.prefilledTokens += uncached;
        if (start.attempt > 1) {
            this.stats.recomputedTokens += uncached;
        }
        return uncached;
    }

    private async stepUntilIdle(): Promise<void> {
        while (this.running.size > 0 && !this.dead) {
            const load = this.running.size / this.options.slots;
            await this.options.clock.sleep(this.options.stepMs * (1 + load));
            const nowMs = this.options.clock.readMonotonicMs();
            [...this.running].filter(request => request.readyAtMs <= nowMs).forEach(request =>
                this.advance(request)
            );
            this.admit();
        }
        this.stepping = false;
    }

    private advance(request: Running): void {
        const { producedTokens } = this.options;
        const before = producedTokens.get(request.start.requestId) ?? 0;
        this.stats.recomputedTokens += request.next < before ? 1 : 0;
        request.next += 1;
        this.stats.generatedTokens += 1;
        producedTokens.set(request.start.requestId, Math.max(before, request.next));
        const ended = request.next >= request.total;
        const first = request.delivered === request.start.offset;
        if (first || ended || request.next - request.delivered >= tokensPerDelivery) {
            this.deliver(request, ended);
        }
        if (ended) {
            this.running.delete(request);
            request.sink.onEnd();
        }
    }

    private deliver(request: Running, ended: boolean): void {
        let text = "";
        const count = request.next - request.delivered + (ended ? 1 : 0);
        for (let id = request.delivered; id < request.next; id += 1) {
            text += `id: ${id}\ndata: {"choices":[{"delta":{"content":" tok"}}]}\n\n`;
        }
        text += ended ? `id: ${request.next}\ndata: [DONE]\n\n` : "";
        const firstOffset = request.delivered;
        request.delivered = request.next;
        request.sink.onBatch({ firstOffset, count, body: Buffer.from(text) });
    }

    private remove(request: Running): void {
        this.running.delete(request);
        this.waiting = this.waiting.filter(candidate => candidate !== request);
        this.admit();
    }
}
