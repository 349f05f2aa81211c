import type { ServerResponse } from "node:http";

/**
 * Sends the headers of a stream of server-sent events, unless headers were sent before.
 *
 * @param response - the HTTP response
 * @param requestId - value of the `request-id` header
 */
export const sendStreamHeaders = (response: ServerResponse, requestId: string): void => {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(200, {
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-cache",
            "request-id": requestId,
        });
    }
};
