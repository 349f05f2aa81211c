import type { IncomingMessage } from "node:http";
import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";

const validKey = /^[\x21-\x7e]{1,200}$/;

/**
 * Reads the `Idempotency-Key` header.
 *
 * @param request - the incoming request
 * @returns the key, or undefined when there is none
 * @throws FailureError when it is empty, longer than 200 characters, or not printable ASCII without spaces
 */
export const readIdempotencyKey = (request: IncomingMessage): string | undefined => {
    const key = request.headers["idempotency-key"];
    if (key === undefined) {
        return undefined;
    }
    if (typeof key !== "string" || !validKey.test(key)) {
        const message = "the Idempotency-Key must have 1 to 200 printable ASCII characters and no spaces";
        throw new FailureError(createFailure(resultCodes.idempotencyKeyInvalid, message));
    }
    return key;
};
