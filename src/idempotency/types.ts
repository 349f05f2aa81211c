/** Types of the send records, which guard that a call is sent at most once. */

/** Recorded answer of a plain service. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Base64 of the body. */
    readonly body: string;
}

/**
 * State of a send record.
 * - `sending`: the attempt may send the call or has sent it
 * - `not-run`: the attempt ended without sending the call
 * - `done`: the answer is recorded
 * - `unknown`: the call was sent and no answer was received
 * - `expired`: the call was done; its answer has been dropped
 */
export type SendState = "sending" | "not-run" | "done" | "unknown" | "expired";

/** Row of a send record. Only the attempt that created the row, or replaced a `not-run` one, may send. */
export interface SendRecord {
    readonly state: SendState;
    /** The only attempt that may send the call. */
    readonly attemptId: string;
    readonly nodeId: string;
    /** SHA-256 of method, path and body. */
    readonly digest: string;
    readonly answer?: RecordedAnswer;
    /** Wall-clock time of the last write, in milliseconds. */
    readonly atMs: number;
}
