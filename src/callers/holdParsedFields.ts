import { createFailure } from "../results/createFailure";
import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { countJsonFields } from "./countJsonFields";
import type { Exchange } from "./Exchange";

const bytesPerField = 256; // of a parsed field or element, checked and copied once
const retryAfterMs = 1_000;

/**
 * Holds what a body takes when it is parsed, which is many times its own size if it has very many short fields.
 *
 * @param exchange - the exchange
 * @param body - its body, JSON text
 * @throws FailureError if there is no room for it
 */
export const holdParsedFields = (exchange: Exchange, body: Buffer): void => {
    if (exchange.hold?.take(countJsonFields(body) * bytesPerField) === false) {
        const message = "the node has no room for the fields of the body";
        throw new FailureError(createFailure(resultCodes.callerMemoryLimit, message, { retryAfterMs }));
    }
};
