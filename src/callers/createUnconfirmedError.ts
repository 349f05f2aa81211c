import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";

const retryAfterMs = 1_000;

/**
 * Creates the error for a request of which a present node has not said whether it holds it.
 *
 * @param requestId - the request
 */
export const createUnconfirmedError = (requestId: string): FailureError => {
    const message = `a node that may hold request "${requestId}" does not answer`;
    return new FailureError(createFailure(resultCodes.idempotencyKeyUnconfirmed, message, { retryAfterMs }));
};
