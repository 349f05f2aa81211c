import type { PromptPart } from "./types";

/**
 * Creates the key by which requests with a common prompt prefix are placed on the same upstream. The last part of a
 * prompt belongs to the request or its session, so the key is the id of the part before it.
 *
 * @param parts - parts of the prompt, in order
 * @returns the key, or undefined for a request without prompt parts
 */
export const createAffinityKey = (parts: readonly PromptPart[]): string | undefined =>
    parts.at(-2)?.id ?? parts.at(0)?.id;
