import { timingSafeEqual } from "node:crypto";

/**
 * Compares a proof that was received with the one expected, in constant time.
 *
 * @param expected - hexadecimal digits
 * @param received - any text
 * @returns whether they are equal
 * @example
 * isSameProof("0a1b", "0a1b"); // true
 */
export const isSameProof = (expected: string, received: string): boolean => {
    const bytes = Buffer.from(expected);
    const receivedBytes = Buffer.from(received);
    return receivedBytes.length === bytes.length && timingSafeEqual(bytes, receivedBytes);
};
