import type { Clock } from "../../src/kernel/types";
import type { DutyStages } from "../../src/platform/types";
import { hashPromptBlocks, tokensPerBlock } from "../../src/routing/PrefixIndex";
import type { ChatBody } from "../../src/streams/chatBodySchema";
import { extractPromptText } from "../../src/streams/extractPromptText";
import type {
    CacheEvent,
    CacheExport,
    EngineClient,
    EngineOrder,
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
    /** Time per token, in milliseconds; rises linearly with the load, to twice this value when all slots are taken. */
    readonly stepMs: number;
    readonly prefillMsPerToken: number;
    readonly cacheBlocks: number;
    /** Highest token offset produced so far, by request; shared by all engines to detect recomputed tokens. */
    readonly producedTokens: Map<string, number>;
    /** Lag of load reports behind the engine's state, in milliseconds. */
    readonly reportLagMs: number;
    /** Lag of cache events behind the cache's state, in milliseconds. */
    readonly cacheLagMs: number;
}

interface EngineRun {
    readonly request: EngineRequest;
    readonly sink: EngineSink;
    readonly totalTokens: number;
    /** Tokens of the prompt and of the text produced by earlier attempts. */
    readonly contextTokens: number;
    nextOffset: number;
    deliveredOffset: number;
    /** End of the prefill, as monotonic time in milliseconds. */
    readyAtMs: number;
}

const charactersPerToken = 4;
const tokensPerDelivery = 4; // tokens sent in one batch, apart from the first and the last

/**
 * Simulates a model engine in memory and virtual time: continuous batching, prefix cache, resume, KV export and import.
 */
export class FakeEngine implements EngineClient {
    readonly stats = { prefilledTokens: 0, recomputedTokens: 0, generatedTokens: 0 };
    private readonly running = new Set<EngineRun>();
    private waiting: EngineRun[] = [];
    private readonly cache: PrefixCache;
    /** Tokens whose KV cache was imported, by request. */
    private readonly importedTokens = new Map<string, number>();
    private readonly loadReports: LoadReport[] = [];
    private readonly cacheEventSnapshots: {
        readonly atMs: number;
        readonly events: readonly CacheEvent[];
    }[] = [];
    private isStepping = false;
    private isKilled = false;

    constructor(private readonly options: FakeEngineOptions) {
        this.cache = new PrefixCache(options.cacheBlocks);
    }

    start(request: EngineRequest, sink: EngineSink): EngineStream {
        const body = request.body as ChatBody;
        const contextTokens = Math.ceil(
            (extractPromptText(body).length + request.producedText.length) / charactersPerToken,
        );
        const run: EngineRun = {
            request,
            sink,
            totalTokens: body.max_tokens ?? 128,
            contextTokens,
            nextOffset: request.offset,
            deliveredOffset: request.offset,
            readyAtMs: 0,
        };
        if (this.isKilled) {
            queueMicrotask(() => sink.onError({ kind: "unreachable", message: "runner VM was terminated" }));
            return { cancel: () => {}, pause: () => {}, resume: () => {} };
        }
        this.waiting.push(run);
        this.waiting.sort((a, b) => a.request.priority - b.request.priority);
        this.admit();
        return { cancel: () => this.remove(run), pause: () => {}, resume: () => {} };
    }

    async exportCache(requestId: string): Promise<CacheExport | undefined> {
        const run = [...this.running].find(candidate => candidate.request.requestId === requestId);
        return run
            && { tokens: run.contextTokens + run.nextOffset - run.request.offset, body: Buffer.alloc(0) };
    }

    async importCache(requestId: string, cache: CacheExport): Promise<boolean> {
        this.importedTokens.set(requestId, cache.tokens);
        return !this.isKilled;
    }

    async readLoad(): Promise<LoadReport> {
        if (this.isKilled) {
            throw new Error("runner VM was terminated");
        }
        const nowMs = this.options.clock.readMonotonicMs();
        this.loadReports.push({
            running: this.running.size,
            queued: this.waiting.length,
            slots: this.options.slots,
            atMs: nowMs,
        });
        while (this.loadReports.length > 1 && this.loadReports[1].atMs <= nowMs - this.options.reportLagMs) {
            this.loadReports.shift();
        }
        return this.loadReports[0];
    }

    async readCacheEvents(after: number): Promise<readonly CacheEvent[]> {
        const nowMs = this.options.clock.readMonotonicMs();
        this.cacheEventSnapshots.push({ atMs: nowMs, events: this.cache.listEvents(0) });
        while (
            this.cacheEventSnapshots.length > 1
            && this.cacheEventSnapshots[1].atMs <= nowMs - this.options.cacheLagMs
        ) {
            this.cacheEventSnapshots.shift();
        }
        return this.cacheEventSnapshots[0].events.filter(event => event.sequence > after);
    }

    async sendOrder(_order: EngineOrder, stages: DutyStages): Promise<OrderOutcome> {
        await stages.onConnected();
        stages.onWrite();
        return "done";
    }

    async readState(): Promise<EngineState> {
        return { models: [], role: "serve", fencing: 0 };
    }

    async close(): Promise<void> {
        // No connection to close.
    }

    /** Terminates the engine; running and queued requests end with an error. */
    kill(): void {
        this.isKilled = true;
        const interrupted = [...this.running, ...this.waiting];
        this.running.clear();
        this.waiting = [];
        interrupted.forEach(run => run.sink.onError({ kind: "cut", message: "runner VM was terminated" }));
    }

    private admit(): void {
        while (this.waiting.length > 0 && this.running.size < this.options.slots) {
            const run = this.waiting.shift()!;
            run.readyAtMs = this.options.clock.readMonotonicMs()
                + this.prefill(run) * this.options.prefillMsPerToken;
            this.running.add(run);
        }
        if (!this.isStepping && this.running.size > 0) {
            this.isStepping = true;
            void this.stepUntilIdle();
        }
    }

    /** Adds the prompt to the cache and returns the number of its tokens that were not cached. */
    private prefill(run: EngineRun): number {
        const { request } = run;
        const prompt = extractPromptText(request.body as ChatBody);
        const blocks = hashPromptBlocks(prompt + request.producedText);
        const cachedTokens = Math.max(
            this.cache.countCachedPrefix(blocks) * tokensPerBlock,
            this.importedTokens.get(request.requestId) ?? 0,
        );
        const uncachedTokens = Math.max(0, run.contextTokens - cachedTokens);
        this.importedTokens.delete(request.requestId);
        this.cache.addBlocks(blocks);
        this.stats.prefilledTokens += uncachedTokens;
        if (request.attempt > 1) {
            this.stats.recomputedTokens += uncachedTokens;
        }
        return uncachedTokens;
    }

    private async stepUntilIdle(): Promise<void> {
        while (this.running.size > 0 && !this.isKilled) {
            const load = this.running.size / this.options.slots;
            await this.options.clock.sleep(this.options.stepMs * (1 + load));
            const nowMs = this.options.clock.readMonotonicMs();
            [...this.running].filter(run => run.readyAtMs <= nowMs).forEach(run => this.advance(run));
            this.admit();
        }
        this.isStepping = false;
    }

    private advance(run: EngineRun): void {
        const { producedTokens } = this.options;
        const producedBefore = producedTokens.get(run.request.requestId) ?? 0;
        this.stats.recomputedTokens += run.nextOffset < producedBefore ? 1 : 0;
        run.nextOffset += 1;
        this.stats.generatedTokens += 1;
        producedTokens.set(run.request.requestId, Math.max(producedBefore, run.nextOffset));
        const hasEnded = run.nextOffset >= run.totalTokens;
        const isFirst = run.deliveredOffset === run.request.offset;
        if (isFirst || hasEnded || run.nextOffset - run.deliveredOffset >= tokensPerDelivery) {
            this.deliver(run, hasEnded);
        }
        if (hasEnded) {
            this.running.delete(run);
            run.sink.onEnd();
        }
    }

    private deliver(run: EngineRun, hasEnded: boolean): void {
        let text = "";
        const count = run.nextOffset - run.deliveredOffset + (hasEnded ? 1 : 0);
        for (let id = run.deliveredOffset; id < run.nextOffset; id += 1) {
            text += `id: ${id}\ndata: {"choices":[{"delta":{"content":" tok"}}]}\n\n`;
        }
        text += hasEnded ? `id: ${run.nextOffset}\ndata: [DONE]\n\n` : "";
        const firstOffset = run.deliveredOffset;
        run.deliveredOffset = run.nextOffset;
        run.sink.onBatch({ firstOffset, count, body: Buffer.from(text) });
    }

    private remove(run: EngineRun): void {
        this.running.delete(run);
        this.waiting = this.waiting.filter(candidate => candidate !== run);
        this.admit();
    }
}
