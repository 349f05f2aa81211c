import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";

const message = "the node is stopping, and the request has no answer yet";

/** Creates the failure of a request that may have run and has no answer when the node stops. */
export const createStoppedFailure = (): FailureError =>
    new FailureError(createFailure(resultCodes.stoppedUnanswered, message));
