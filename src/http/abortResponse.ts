import type { ServerResponse } from "node:http";

/**
 * Ends a response that is incomplete so that it does not look complete: the connection is closed. Where the end of the
 * response is marked only by the close of its connection, as for HTTP/1.0 callers, the connection is reset.
 *
 * @param response - the response; one that has ended or is closed is left as it is
 */
export const abortResponse = (response: ServerResponse): void => {
    if (response.writableEnded || response.destroyed) {
        return;
    }
    const isCloseDelimited = response.headersSent
        && !response.chunkedEncoding
        && !response.hasHeader("content-length");
    if (isCloseDelimited) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
};
