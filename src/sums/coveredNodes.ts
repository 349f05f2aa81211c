import type { CoveredNodes } from "./types";

/** Counts the nodes of all parts. */
export const countCoveredNodes = (parts: readonly CoveredNodes[]): number =>
    parts.reduce((sum, part) => sum + part.nodes, 0);

/**
 * Computes the mean age of the nodes' contributions.
 *
 * @param parts - the parts that a sum includes
 * @param nowMs - monotonic time, in milliseconds
 * @returns milliseconds; 0 if there are no nodes
 */
export const computeMeanAgeMs = (parts: readonly CoveredNodes[], nowMs: number): number => {
    const ageSumMs = parts.reduce((sum, { nodes, atMs }) => sum + nodes * (nowMs - atMs), 0);
    return ageSumMs / Math.max(1, countCoveredNodes(parts));
};
