import type { UpstreamExchange } from "./UpstreamExchange";

/** A whole body, or why there is none. */
export type CollectedBody =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "broken"; readonly message: string; };

/**
 * Collects the body of an answer.
 *
 * @param exchange - the exchange, whose head has arrived
 * @param maxBytes - bytes beyond which the exchange is given up
 * @returns the body; never rejects
 */
export const collectBody = async (exchange: UpstreamExchange, maxBytes: number): Promise<CollectedBody> => {
    const chunks: Buffer[] = [];
    let size = 0;
    exchange.listen(chunk => {
        size += chunk.length;
        if (size > maxBytes) {
            exchange.abort(`the answer is larger than ${maxBytes} bytes`);
            return;
        }
        chunks.push(chunk);
    });
    const end = await exchange.ended;
    return end.isWhole
        ? { kind: "whole", body: Buffer.concat(chunks) }
        : { kind: "broken", message: end.message ?? "the answer broke off" };
};
