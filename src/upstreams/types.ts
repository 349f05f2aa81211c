/** Interfaces of upstreams: model engines and plain services. */

/** A run of consecutive server-sent events of one answer, as bytes. */
export interface NumberedEventBatch {
    /** Offset of the first event. */
    readonly firstOffset: number;
    /** Number of events. */
    readonly count: number;
    /** The events, each with its `id:` line. */
    readonly body: Buffer;
}

/** A request as an engine gets it. */
export interface EngineRequest {
    readonly requestId: string;
    /** Number of the attempt over all nodes, from 1. */
    readonly attempt: number;
    /** Differs between any two attempts, also of different nodes. */
    readonly attemptId: string;
    /** The caller's body; `stream` is set by the adapter. */
    readonly body: Readonly<Record<string, unknown>>;
    /** Offset at which the engine goes on; 0 for a new answer. */
    readonly offset: number;
    /** Text produced so far. */
    readonly producedText: string;
    /** Smaller goes first. */
    readonly priority: number;
}

/** Receives what an engine sends for one attempt. */
export interface EngineSink {
    onBatch(batch: NumberedEventBatch): void;
    /** The whole answer arrived. */
    onEnd(): void;
    onError(error: EngineError): void;
}

/** Why an attempt failed. */
export interface EngineError {
    /**
     * `refused`: the engine took no work. `unreachable`: no connection. `cut`: the stream ended early.
     * `bad-request`: the engine does not accept this body; another would not either.
     */
    readonly kind: "refused" | "unreachable" | "cut" | "bad-request";
    readonly message: string;
}

/** A running attempt. */
export interface EngineStream {
    /** Stops the attempt and tells the engine; the sink hears nothing more. */
    cancel(): void;
    pause(): void;
    resume(): void;
}

/** Load that an engine reports; it lags. */
export interface LoadReport {
    readonly running: number;
    readonly queued: number;
    /** Requests that the engine decodes at once. */
    readonly slots: number;
    /** Engine's clock at the report, in milliseconds. */
    readonly atMs: number;
}

/** Change of an engine's prefix cache. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "removed";
    /** Chained hashes of prompt blocks. */
    readonly blocks: readonly string[];
}

/** An order to an engine. */
export interface EngineOrder {
    readonly orderId: string;
    readonly fencing: number;
    readonly kind: "load-model" | "load-adapter" | "set-role";
    readonly value: string;
}

/** Outcome of an order. */
export type OrderOutcome = "done" | "stale-fencing" | "refused";

/** State that orders act on. */
export interface EngineState {
    readonly models: readonly string[];
    readonly role: string;
    readonly fencing: number;
}

/** Exported KV cache of a running request. */
export interface CacheExport {
    readonly tokens: number;
    readonly body: Buffer;
}

/** One model engine. */
export interface EngineClient {
    start(start: EngineRequest, sink: EngineSink): EngineStream;
    exportCache(requestId: string): Promise<CacheExport | undefined>;
    importCache(requestId: string, cache: CacheExport): Promise<boolean>;
    readLoad(): Promise<LoadReport>;
    readCacheEvents(after: number): Promise<readonly CacheEvent[]>;
    sendOrder(order: EngineOrder): Promise<OrderOutcome>;
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

/** Answer of a plain service. */
export interface PlainAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** A failed call. `sent` is false only when no byte of the call can have reached the service. */
export interface PlainFailure {
    readonly isSent: boolean;
    readonly message: string;
}

/** One plain-service runner. */
export interface PlainClient {
    call(call: PlainCall): Promise<{ readonly answer: PlainAnswer; } | { readonly failure: PlainFailure; }>;
    close(): Promise<void>;
}
