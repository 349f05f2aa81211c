import { createFailure } from "./createFailure";
import { FailureError } from "./FailureError";
import { resultCodes } from "./resultCodes";
import type { Failure } from "./types";

/**
 * Turns anything thrown into a failure.
 *
 * @param error - the thrown value
 * @returns the carried failure, or an internal error
 */
export const toFailure = (error: unknown): Failure => {
    if (error instanceof FailureError) {
        return error.failure;
    }
    return createFailure(resultCodes.internalError, error instanceof Error ? error.message : String(error));
};
