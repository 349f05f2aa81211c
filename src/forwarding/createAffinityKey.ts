import type { PromptPart } from "./types";

/**
 * Creates the key that keeps requests with a common prompt prefix together: the last part that other requests share.
 * The very last part belongs to the request itself or to its session.
 *
 * @param parts - parts of the prompt, in their order
 * @returns the key, or undefined for a request without a prompt
 */
export const createAffinityKey = (parts: readonly PromptPart[]): string | undefined =>
    parts.at(-2)?.id ?? parts.at(0)?.id;
