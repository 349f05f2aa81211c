import type { Failure, ResultCode, RunState } from "./types";

/** Options of {@link createFailure}. */
export interface CreateFailureOptions {
    /** When the caller may come back, in milliseconds. */
    readonly retryAfterMs?: number;
    /** Overrides the result code's run state. */
    readonly run?: RunState;
}

/**
 * Creates a failure from a result code.
 *
 * @param resultCode - entry of the result-code table
 * @param message - sentence that names the thing concerned
 * @param options - retry time and run state
 * @returns the failure as plain data
 * @example
 * createFailure(resultCodes.unknownModel, 'model "x" does not exist');
 */
export const createFailure = (
    resultCode: ResultCode,
    message: string,
    options: CreateFailureOptions = {},
): Failure => ({ resultCode, message, ...options });
