import type { UpstreamStart } from "./types";

/**
 * Formats the start of an upstream as a key, the same on all nodes.
 *
 * @param start - the start; an upstream or a report that names it
 * @returns the key
 * @example
 * formatStartKey({ id: "i-1", startedAtMs: 5 }); // "5 i-1"
 */
export const formatStartKey = ({ id, startedAtMs }: UpstreamStart): string => `${startedAtMs ?? ""} ${id}`;
