import type { RequestMetadata, ResponseMetadata } from "./types";

/**
 * Finds why an answer cannot be taken for the answer to a request. An upstream may write bytes of an earlier answer, or
 * such that belong to no request, on a connection that is in use again. The request may be running then.
 *
 * @param answer - data from the answer's headers
 * @param request - data from the request's headers
 * @returns the reason; undefined if the answer is that of the request
 */
export const findStrayReason = (
    answer: Pick<ResponseMetadata, "requestId">,
    request: Pick<RequestMetadata, "requestId">,
): string | undefined => {
    if (answer.requestId === undefined) {
        return "the answer carries no id, so that it may be that of another request";
    }
    return answer.requestId === request.requestId
        ? undefined
        : "the answer carries the id of another request";
};
