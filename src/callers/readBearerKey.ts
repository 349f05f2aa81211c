import type { IncomingMessage } from "node:http";

const bearerPrefix = "Bearer ";

/**
 * Reads the bearer key of a request.
 *
 * @param request - the incoming request
 * @returns the key, or undefined when the `Authorization` header is missing or has no bearer key
 */
export const readBearerKey = (request: IncomingMessage): string | undefined => {
    const header = request.headers.authorization;
    if (!header?.startsWith(bearerPrefix) || header.length === bearerPrefix.length) {
        return undefined;
    }
    return header.slice(bearerPrefix.length);
};
