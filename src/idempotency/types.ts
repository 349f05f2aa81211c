/** Shapes of the records that make a call run at most once. */

/** A recorded answer. */
export interface RecordedAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Base64 of the body. */
    readonly body: string;
}

/**
 * State of a record. `sending`: its attempt may send or has sent. `not-run`: its owner knows that it did not
 * send. `done`: the answer is known. `unknown`: sent, and no answer came. `expired`: done, answer dropped.
 */
export type SendState = "sending" | "not-run" | "done" | "unknown" | "expired";

/** Value of a record's row. Creating it, or taking over a `not-run` one, consumes the right to send. */
export interface SendRecord {
    readonly state: SendState;
    /** The one attempt that may send. */
    readonly attemptId: string;
    readonly nodeId: string;
    /** SHA-256 of method, path and body. */
    readonly digest: string;
    readonly answer?: RecordedAnswer;
    /** Wall-clock time of the last write, in milliseconds. */
    readonly atMs: number;
}
