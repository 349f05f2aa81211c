import { ChunkBuffer } from "../_lib/ChunkBuffer";
import type { HeldMemory } from "./AnswerMemory";
import type { UpstreamExchange } from "./UpstreamExchange";

/** The complete body of an answer, or the reason why it is missing. */
export type CollectedBody =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "broken"; readonly message: string; };

/** Options of {@link collectBody}. */
export interface CollectBodyOptions {
    /** Size limit, in bytes; the exchange is aborted if the body exceeds it. */
    readonly maxBytes: number;
    /** Memory of the request; the exchange is aborted if it grants no more. Default: not limited. */
    readonly memory?: HeldMemory;
}

/**
 * Collects the complete body of an answer in memory.
 *
 * @param exchange - an exchange whose head has arrived
 * @param options - limits
 * @returns the body or the reason of the failure; never rejects
 */
export const collectBody = async (
    exchange: UpstreamExchange,
    options: CollectBodyOptions,
): Promise<CollectedBody> => {
    const { maxBytes, memory } = options;
    const body = new ChunkBuffer();
    exchange.listen(chunk => {
        if (body.length + chunk.length > maxBytes) {
            exchange.abort(`answer exceeds ${maxBytes} bytes`);
            return;
        }
        if (memory?.take(chunk.length) === false) {
            exchange.abort("the node's memory for answers is used up");
            return;
        }
        body.append(chunk);
    });
    const end = await exchange.ended;
    return end.isWhole
        ? { kind: "whole", body: body.toBuffer() }
        : { kind: "broken", message: end.message ?? "answer ended early" };
};
