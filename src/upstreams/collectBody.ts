import type { UpstreamExchange } from "./UpstreamExchange";

/** The complete body of an answer, or the reason why it is missing. */
export type CollectedBody =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "broken"; readonly message: string; };

/**
 * Collects the complete body of an answer in memory.
 *
 * @param exchange - an exchange whose head has arrived
 * @param maxBytes - size limit, in bytes; the exchange is aborted if the body exceeds it
 * @returns the body or the reason of the failure; never rejects
 */
export const collectBody = async (exchange: UpstreamExchange, maxBytes: number): Promise<CollectedBody> => {
    const chunks: Buffer[] = [];
    let size = 0;
    exchange.listen(chunk => {
        size += chunk.length;
        if (size > maxBytes) {
            exchange.abort(`answer exceeds ${maxBytes} bytes`);
            return;
        }
        chunks.push(chunk);
    });
    const end = await exchange.ended;
    return end.isWhole
        ? { kind: "whole", body: Buffer.concat(chunks) }
        : { kind: "broken", message: end.message ?? "answer ended early" };
};
