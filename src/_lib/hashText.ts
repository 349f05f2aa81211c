import { createHash } from "node:crypto";

/**
 * Hashes text with SHA-256.
 *
 * @param text - the text
 * @returns 64 lower-case hexadecimal digits
 */
export const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");
