/** Shapes of outcomes that are told to callers and operators. */

/** What is known about whether the work of a refused request has run. */
export type RunState = "not-run" | "unknown" | "done" | "in-progress";

/** One entry of the result-code table. */
export interface ResultCode {
    /** Stable number. */
    readonly code: number;
    /** Stable name. */
    readonly name: string;
    /** HTTP status that carries it. */
    readonly status: number;
    /** What is known about the work. */
    readonly run: RunState;
    /** One-line explanation for the docs. */
    readonly meaning: string;
}

/** A refusal or error, as plain data. */
export interface Failure {
    readonly resultCode: ResultCode;
    readonly message: string;
    /** When the caller may come back, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Overrides the result code's run state where the same code can mean either. */
    readonly run?: RunState;
}
