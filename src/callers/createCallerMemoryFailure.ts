import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";

const retryAfterMs = 1_000;

/**
 * Creates the refusal of a request for which there is no memory; it has not run.
 *
 * @param message - what there is no memory for
 * @returns the error
 */
export const createCallerMemoryFailure = (message: string): FailureError =>
    new FailureError(createFailure(resultCodes.callerMemoryLimit, message, { retryAfterMs }));
