import type { Failure, ResultCode, RunState } from "./types";

/** Options of {@link createFailure}. */
export interface CreateFailureOptions {
    /** Time after which the caller may retry, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Overrides the result code's run state. */
    readonly run?: RunState;
}

/**
 * Creates a failure from a result code.
 *
 * @param resultCode - entry of the result-code table
 * @param message - explanation with the value concerned
 * @param options - retry delay and run state
 * @returns the failure
 * @example
 * createFailure(resultCodes.unknownModel, 'model "x" does not exist');
 */
export const createFailure = (
    resultCode: ResultCode,
    message: string,
    options: CreateFailureOptions = {},
): Failure => ({ resultCode, message, ...options });
