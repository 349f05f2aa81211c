import type { Clock } from "../kernel/types";
import type { EngineError, EngineSink, EngineStream, NumberedEventBatch } from "../upstreams/types";
import type { Runner } from "../upstreams/Runner";
import type { RequestRecord } from "./RequestRecord";

/** How an attempt ended. */
export type AttemptOutcome =
    | { readonly kind: "ended"; }
    | { readonly kind: "failed"; readonly error: EngineError; }
    | { readonly kind: "silent"; }
    | { readonly kind: "moved"; }
    | { readonly kind: "cancelled"; };

/** Options of {@link Attempt}. */
export interface AttemptOptions {
    readonly number: number;
    readonly record: RequestRecord;
    readonly runner: Runner;
    readonly clock: Clock;
    /** Called for each late, doubled or misplaced frame. */
    readonly onFrameDropped: (reason: string) => void;
}

/** One try to get an answer, or the rest of it, from one runner. */
export class Attempt implements EngineSink {
    readonly startedAtMs: number;
    /** Monotonic time at which the runner last sent something, in milliseconds. */
    lastActivityAtMs: number;
    firstBatchAtMs: number | undefined;
    readonly firstOffset: number;
    readonly outcome: Promise<AttemptOutcome>;
    stream: EngineStream | undefined;
    private settleDone: (outcome: AttemptOutcome) => void = () => {};
    private settled = false;

    constructor(private readonly options: AttemptOptions) {
        this.startedAtMs = options.clock.readMonotonicMs();
        this.lastActivityAtMs = this.startedAtMs;
        this.firstOffset = options.record.log.nextOffset;
        this.outcome = new Promise(resolve => {
            this.settleDone = resolve;
        });
    }

    get number(): number {
        return this.options.number;
    }

    get runner(): Runner {
        return this.options.runner;
    }

    onBatch(batch: NumberedEventBatch): void {
        const { record } = this.options;
        if (this.settled || record.currentAttempt !== this) {
            this.options.onFrameDropped("late attempt");
            return;
        }
        if (record.isFrozen) {
            return;
        }
        this.lastActivityAtMs = this.options.clock.readMonotonicMs();
        this.firstBatchAtMs ??= this.lastActivityAtMs;
        record.firstTokenAtMs ??= this.options.clock.readWallMs();
        const outcome = record.log.append(batch);
        if (outcome === "duplicate") {
            this.options.onFrameDropped("doubled frame");
        }
        if (outcome === "gap") {
            this.options.onFrameDropped("frame after a gap");
            this.stop({ kind: "failed", error: { kind: "cut", message: "the engine left out events" } });
        }
    }

    onEnd(): void {
        this.settle({ kind: this.options.record.isFrozen ? "moved" : "ended" });
    }

    onError(error: EngineError): void {
        this.settle({ kind: "failed", error });
    }

    /** Ends the attempt and tells the runner to stop. */
    stop(outcome: AttemptOutcome): void {
        this.settle(outcome);
        this.stream?.cancel();
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.settled) {
            this.settled = true;
            this.settleDone(outcome);
        }
    }
}
