import { createHash } from "node:crypto";

/**
 * Computes the SHA-256 digest of a text.
 *
 * @param text - the text
 * @returns 64 lower-case hexadecimal digits
 */
export const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");
