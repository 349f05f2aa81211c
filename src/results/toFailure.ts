import { createFailure } from "./createFailure";
import { FailureError } from "./FailureError";
import { resultCodes } from "./resultCodes";
import type { Failure } from "./types";

/**
 * Converts a thrown value to a failure.
 *
 * @param error - the thrown value
 * @returns the failure of a {@link FailureError}; an `internal-error` for anything else
 */
export const toFailure = (error: unknown): Failure => {
    if (error instanceof FailureError) {
        return error.failure;
    }
    return createFailure(resultCodes.internalError, error instanceof Error ? error.message : String(error));
};
