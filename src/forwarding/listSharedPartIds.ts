import type { PromptPart } from "./types";

/**
 * Lists the ids of the prompt parts that a request may share with others: all but the last, which belongs to the request
 * itself or to its session.
 *
 * @param parts - parts of the prompt, in order
 * @returns the ids, each once
 * @example
 * listSharedPartIds([{ id: "a", tokens: 8 }, { id: "b", tokens: 2 }]); // ["a"]
 */
export const listSharedPartIds = (parts: readonly PromptPart[]): string[] => [
    ...new Set(parts.slice(0, -1).map(part => part.id)),
];
