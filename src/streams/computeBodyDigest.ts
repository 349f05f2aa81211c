import { hashText } from "../_lib/hashText";

/**
 * Hashes a chat body, to tell whether an idempotency key comes with the same request again. Whether the
 * answer is streamed makes no difference.
 *
 * @param body - the caller's body
 * @returns 64 hexadecimal digits
 */
export const computeBodyDigest = (body: Readonly<Record<string, unknown>>): string => {
    const { stream: _stream, ...rest } = body;
    return hashText(JSON.stringify(rest));
};
