import { countJsonFields } from "./countJsonFields";
import { createCallerMemoryFailure } from "./createCallerMemoryFailure";
import type { Exchange } from "./Exchange";

const bytesPerField = 256; // of a parsed field or element, checked and copied once

/**
 * Holds what a body takes when it is parsed, which is many times its own size if it has very many short fields.
 *
 * @param exchange - the exchange
 * @param body - its body, JSON text
 * @throws FailureError if there is no room for it
 */
export const holdParsedFields = (exchange: Exchange, body: Buffer): void => {
    if (exchange.hold?.take(countJsonFields(body) * bytesPerField) === false) {
        throw createCallerMemoryFailure("the node has no room for the fields of the body");
    }
};
