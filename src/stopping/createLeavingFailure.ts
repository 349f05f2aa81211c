import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";

const retryAfterMs = 50; // callers can use another node immediately

/** Creates the failure of a request that has not run and is refused because the node stops. */
export const createLeavingFailure = (): FailureError =>
    new FailureError(createFailure(resultCodes.nodeLeaving, "the node is stopping", { retryAfterMs }));
