import { hashText } from "../_lib/hashText";

/**
 * Hashes a chat body, to detect an idempotency key that is reused with another request. The `stream` field is
 * ignored.
 *
 * @param body - the caller's body
 * @returns 64 hexadecimal digits
 */
export const computeBodyDigest = (body: Readonly<Record<string, unknown>>): string => {
    const { stream: _stream, ...rest } = body;
    return hashText(JSON.stringify(rest));
};
