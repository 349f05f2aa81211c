const minIntervalMs = 250;
const maxLinksAtMinInterval = 16; // 64 reports a second and topic, about 1 % of a core

/**
 * Computes the interval between the reports of a node. Above 16 links it grows with their number, which keeps the
 * reports a second constant that a node sends and receives.
 *
 * @param links - members to which a link is up
 * @returns milliseconds
 */
export const computeReportIntervalMs = (links: number): number =>
    minIntervalMs * Math.max(1, links / maxLinksAtMinInterval);
