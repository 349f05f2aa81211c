import type { PlainService } from "./declarationSchema";

const idempotentMethods: readonly string[] = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/**
 * Tells whether a call to a plain service is idempotent. A declared call overrides the default of its method.
 *
 * @param service - the declared service
 * @param method - HTTP method in upper case
 * @param path - path within the service
 * @returns true when repeating the call has no further effect
 */
export const isIdempotentCall = (service: PlainService, method: string, path: string): boolean => {
    const declared = service.calls.find(call => call.method === method && path.startsWith(call.path));
    return declared ? declared.idempotent : idempotentMethods.includes(method);
};
