import type { ServerResponse } from "node:http";

const millisecondsPerSecond = 1_000;

/**
 * Sends a whole JSON answer, unless the connection is gone or an answer was begun.
 *
 * @param response - the HTTP response
 * @param status - HTTP status
 * @param body - plain data
 * @param headers - further headers
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
 * Formats a wait for the `Retry-After` header.
 *
 * @param retryAfterMs - the wait in milliseconds
 * @returns whole seconds, at least 1
 */
export const formatRetryAfter = (retryAfterMs: number): string =>
    String(Math.max(1, Math.ceil(retryAfterMs / millisecondsPerSecond)));
