/** Types of the results reported to callers and operators. */

/**
 * Whether the work of a failed request has run: `not-run` and `done` are certain; `in-progress` is still running;
 * `unknown` may or may not have run.
 */
export type RunState = "not-run" | "unknown" | "done" | "in-progress";

/** One entry of the result-code table. */
export interface ResultCode {
    /** Stable number. */
    readonly code: number;
    /** Stable name. */
    readonly name: string;
    /** HTTP status that carries it. */
    readonly status: number;
    /** Whether the work of the request has run. */
    readonly run: RunState;
    /** One-line explanation for the docs. */
    readonly meaning: string;
}

/** An error result, as plain data. */
export interface Failure {
    readonly resultCode: ResultCode;
    /** Explanation for this occurrence. */
    readonly message: string;
    /** Time after which the caller may retry, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Overrides the run state of the result code, for codes that can mean either. */
    readonly run?: RunState;
}
