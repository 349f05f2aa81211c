import type { ServerResponse } from "node:http";

const millisecondsPerSecond = 1_000;

/**
 * Sends a JSON response, unless headers were already sent or the connection is closed.
 *
 * @param response - the HTTP response
 * @param status - HTTP status
 * @param body - value to serialise
 * @param headers - additional headers
 */
export const sendJsonResponse = (
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void => {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const text = JSON.stringify(body);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...headers,
    });
    response.end(text);
};

/**
 * Formats a delay for the `Retry-After` header.
 *
 * @param retryAfterMs - the delay in milliseconds
 * @returns whole seconds, at least 1
 */
export const formatRetryAfter = (retryAfterMs: number): string =>
    String(Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond)));
