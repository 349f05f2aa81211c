/** Options of {@link AnswerTimeout}. */
export interface AnswerTimeoutOptions {
    /** Time until the answer has to begin, in milliseconds. */
    readonly timeoutMs: number;
    /**
     * Time without any byte of an answer that has begun, in milliseconds. Default: the whole answer has to arrive within
     * `timeoutMs`.
     */
    readonly progressMs?: number;
}

const maxTotalMs = 10_000; // beyond the time-out: an answer that arrives byte by byte ends, too

/** Time limit of an exchange, which may run anew from each byte of the answer. Aborts a signal when it has passed. */
export class AnswerTimeout {
    private readonly controller = new AbortController();
    private readonly endTimer: NodeJS.Timeout | undefined;
    private timer: NodeJS.Timeout;

    constructor(private readonly options: AnswerTimeoutOptions) {
        const { timeoutMs, progressMs } = options;
        this.timer = setTimeout(() => this.expire(), timeoutMs);
        this.endTimer = progressMs === undefined
            ? undefined
            : setTimeout(() => this.expire(), timeoutMs + maxTotalMs);
    }

    /** Aborted when the time limit has passed. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** Records that bytes of the answer have arrived. */
    recordProgress(): void {
        const { progressMs } = this.options;
        if (progressMs !== undefined) {
            clearTimeout(this.timer);
            this.timer = setTimeout(() => this.expire(), progressMs);
        }
    }

    /** Ends the time limit without aborting. */
    clear(): void {
        clearTimeout(this.timer);
        clearTimeout(this.endTimer);
    }

    private expire(): void {
        this.clear();
        this.controller.abort(new DOMException("The operation was aborted due to timeout", "TimeoutError"));
    }
}
