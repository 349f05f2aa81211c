import type { HeldBytes } from "../http/HeldBytes";
import type { Exchange } from "./Exchange";
import { readBody } from "./readBody";

/** Options of {@link readExchangeBody}. */
export interface ReadExchangeBodyOptions {
    readonly maxBodyBytes: number;
    readonly heldBytes: HeldBytes;
    /** Client account for which the body is held; default: the caller's address. */
    readonly accountId?: string;
}

/**
 * Reads the body of an exchange. Its bytes are held until the exchange has ended.
 *
 * @param exchange - the exchange
 * @param options - limits and account
 * @returns the body
 * @throws what {@link readBody} throws
 */
export const readExchangeBody = (exchange: Exchange, options: ReadExchangeBodyOptions): Promise<Buffer> => {
    const owner = options.accountId ?? exchange.request.socket.remoteAddress ?? "";
    return readBody(exchange.request, options.maxBodyBytes, {
        held: options.heldBytes,
        owner,
        onHold: hold => {
            exchange.hold = hold;
        },
    });
};
