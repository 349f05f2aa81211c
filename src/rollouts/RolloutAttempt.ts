import type { AttemptOutcome } from "./classifyAttempt";

/** Options of {@link RolloutAttempt}. */
export interface RolloutAttemptOptions {
    /** Monotonic time, in milliseconds. */
    readonly readNowMs: () => number;
    /** Called once, with how the attempt ended. */
    readonly onEnd: (outcome: AttemptOutcome) => void;
}

/** Times one attempt at an upstream of a service with a roll-out. */
export class RolloutAttempt {
    private readonly sentMs: number;
    private firstEventMs: number | undefined;

    constructor(private readonly options: RolloutAttemptOptions) {
        this.sentMs = options.readNowMs();
    }

    /** Records the first event of a stream; further calls have no effect. */
    observeFirstEvent(): void {
        this.firstEventMs ??= this.options.readNowMs();
    }

    /**
     * Records the end of the attempt.
     *
     * @param kind - how it ended
     * @param status - status of the answer; undefined before its head
     * @param eventCount - events that the attempt brought
     */
    end(kind: AttemptOutcome["kind"], status: number | undefined, eventCount: number): void {
        const nowMs = this.options.readNowMs();
        const startMs = (this.firstEventMs ?? nowMs) - this.sentMs;
        const gapMs = this.firstEventMs !== undefined && eventCount > 1
            ? (nowMs - this.firstEventMs) / (eventCount - 1)
            : undefined;
        this.options.onEnd({ kind, status, startMs, gapMs });
    }
}
