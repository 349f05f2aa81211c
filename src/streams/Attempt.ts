import type { Clock } from "../kernel/types";
import type { EngineError, EngineSink, EngineStream, NumberedEventBatch } from "../upstreams/types";
import type { Runner } from "../upstreams/Runner";
import type { RequestRecord } from "./RequestRecord";
import type { AttemptOutcome, RunningAttempt } from "./types";

/** Options of {@link Attempt}. */
export interface AttemptOptions {
    readonly number: number;
    readonly record: RequestRecord;
    readonly runner: Runner;
    readonly clock: Clock;
    /** Called for each frame that is late, duplicate or follows a gap. */
    readonly onFrameDropped: (reason: string) => void;
}

/** One attempt to get an answer, or the rest of it, from one runner. */
export class Attempt implements EngineSink, RunningAttempt {
    readonly startedAtMs: number;
    lastActivityAtMs: number;
    firstBatchAtMs: number | undefined;
    /** Offset of the first event that this attempt produces. */
    readonly firstOffset: number;
    readonly outcome: Promise<AttemptOutcome>;
    stream: EngineStream | undefined;
    private resolveOutcome: (outcome: AttemptOutcome) => void = () => {};
    private isSettled = false;

    constructor(private readonly options: AttemptOptions) {
        this.startedAtMs = options.clock.readMonotonicMs();
        this.lastActivityAtMs = this.startedAtMs;
        this.firstOffset = options.record.log.nextOffset;
        this.outcome = new Promise(resolve => {
            this.resolveOutcome = resolve;
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
        if (this.isSettled || record.currentAttempt !== this) {
            this.options.onFrameDropped("frame after the end of its attempt");
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
            this.options.onFrameDropped("duplicate frame");
        }
        if (outcome === "gap") {
            this.options.onFrameDropped("frame after a gap");
            this.stop({ kind: "failed", error: { kind: "cut", message: "the engine skipped events" } });
        }
    }

    onEnd(): void {
        this.settle({ kind: this.options.record.isFrozen ? "moved" : "ended" });
    }

    onError(error: EngineError): void {
        this.settle({ kind: "failed", error });
    }

    stop(outcome: AttemptOutcome): void {
        this.settle(outcome);
        this.stream?.cancel();
    }

    private settle(outcome: AttemptOutcome): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.resolveOutcome(outcome);
        }
    }
}
