const leastIntervalMs = 250;
const linksAtLeastInterval = 16; // 64 readings a second and topic; about a hundredth of a core

/**
 * Computes the pause between two reports of a node, so that what it sends and receives a second does not grow with the
 * number of members.
 *
 * @param links - members to which a link is up
 * @returns milliseconds
 */
export const computeReportIntervalMs = (links: number): number =>
    leastIntervalMs * Math.max(1, links / linksAtLeastInterval);
