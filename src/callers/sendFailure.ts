import type { ServerResponse } from "node:http";
import { formatFailure } from "../results/formatFailure";
import type { Failure } from "../results/types";
import { formatRetryAfter, sendJsonResponse } from "./sendJsonResponse";

/**
 * Sends a refusal.
 *
 * @param response - the HTTP response
 * @param failure - the failure
 * @param headers - further headers
 */
export const sendFailure = (
    response: ServerResponse,
    failure: Failure,
    headers: Readonly<Record<string, string>> = {},
): void => {
    const all: Record<string, string> = { ...headers };
    if (failure.retryAfterMs !== undefined) {
        all["retry-after"] = formatRetryAfter(failure.retryAfterMs);
    }
    sendJsonResponse(response, failure.resultCode.status, formatFailure(failure), all);
};
