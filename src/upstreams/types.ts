/** Interfaces of the clients of upstreams: model engines and plain services. */

import type { DutyStages } from "../platform/types";

/** Consecutive server-sent events of one answer, as raw bytes. */
export interface NumberedEventBatch {
    /** Id of the first event, which is its offset in the answer. */
    readonly firstOffset: number;
    readonly count: number;
    /** The encoded events, each with its `id:` line. */
    readonly body: Buffer;
}

/** One attempt of a request, as sent to an engine. */
export interface EngineRequest {
    readonly requestId: string;
    /** Number of the attempt, counted over all nodes from 1. */
    readonly attempt: number;
    /** Unique for each attempt over all nodes. */
    readonly attemptId: string;
    /** The caller's request body. The client sets `stream`. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Offset of the first event to generate; 0 for a new answer. */
    readonly offset: number;
    /** Text of the answer up to {@link offset}, from earlier attempts. */
    readonly producedText: string;
    /** Scheduling priority; lower values are served first. */
    readonly priority: number;
}

/** Receives the output of an engine for one attempt. */
export interface EngineSink {
    onBatch(batch: NumberedEventBatch): void;
    /** Called once after the last event of a complete answer. */
    onEnd(): void;
    onError(error: EngineError): void;
}

/** Why an attempt failed. */
export interface EngineError {
    /**
     * `refused`: the engine rejected the request without starting work on it, for example because it is overloaded.
     * `unreachable`: the exchange failed before a response head arrived. `cut`: the stream ended before its last event
     * or could not be parsed. `bad-request`: the engine rejects this body, and so would any other engine.
     */
    readonly kind: "refused" | "unreachable" | "cut" | "bad-request";
    readonly message: string;
}

/** A running attempt. */
export interface EngineStream {
    /** Cancels the attempt, also at the engine. The sink is not called afterwards. */
    cancel(): void;
    /** Pauses reading from the engine, for back-pressure. */
    pause(): void;
    resume(): void;
}

/** Load reported by an engine. It lags behind the actual load. */
export interface LoadReport {
    readonly running: number;
    readonly queued: number;
    /** Maximum number of requests that the engine decodes concurrently. */
    readonly slots: number;
    /** Time of the report on the engine's clock, in milliseconds. */
    readonly atMs: number;
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    /** Chained hashes of the prompt blocks stored or removed. */
    readonly blocks: readonly string[];
}

/** A control command to an engine. */
export interface EngineOrder {
    readonly orderId: string;
    /** Fencing token of the sender's lease. Engines that check it reject tokens below the highest one seen. */
    readonly fencing: number;
    readonly kind: "load-model" | "load-adapter" | "set-role";
    readonly value: string;
}

/** Outcome of an {@link EngineOrder}. */
export type OrderOutcome = "done" | "stale-fencing" | "refused";

/** State of an engine that orders change. */
export interface EngineState {
    readonly models: readonly string[];
    readonly role: string;
    /** Highest fencing token seen. */
    readonly fencing: number;
}

/** KV cache of a running request, exported for transfer to another engine. */
export interface CacheExport {
    readonly tokens: number;
    readonly body: Buffer;
}

/** Client of one model engine. */
export interface EngineClient {
    /** Starts an attempt; its events go to the sink. */
    start(request: EngineRequest, sink: EngineSink): EngineStream;
    /** Exports the KV cache of a request; undefined if the engine does not provide it. */
    exportCache(requestId: string): Promise<CacheExport | undefined>;
    /** Imports a KV cache; resolves to false when the engine rejects it. */
    importCache(requestId: string, cache: CacheExport): Promise<boolean>;
    readLoad(): Promise<LoadReport>;
    /** Reads the prefix-cache events with a sequence number above `after`. */
    readCacheEvents(after: number): Promise<readonly CacheEvent[]>;
    sendOrder(order: EngineOrder, stages: DutyStages): Promise<OrderOutcome>;
    readState(): Promise<EngineState>;
    close(): Promise<void>;
}

/** A call to a plain service. */
export interface PlainCall {
    readonly method: string;
    /** Path and query within the service. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer | undefined;
    readonly timeoutMs: number;
}

/** The answer of a plain service. */
export interface PlainAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** A failed call. `isSent` is false only if no byte of the call can have reached the service. */
export interface PlainFailure {
    readonly isSent: boolean;
    readonly message: string;
}

/** Client of one runner of a plain service. */
export interface PlainClient {
    /** Sends a call; resolves to the answer or to the failure. */
    call(call: PlainCall): Promise<{ readonly answer: PlainAnswer; } | { readonly failure: PlainFailure; }>;
    close(): Promise<void>;
}
