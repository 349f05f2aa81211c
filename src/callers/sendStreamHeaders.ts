import type { ServerResponse } from "node:http";

/**
 * Begins a stream of server-sent events, unless it was begun before.
 *
 * @param response - the HTTP response
 * @param requestId - the request
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
