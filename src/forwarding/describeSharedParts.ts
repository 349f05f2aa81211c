const maxListedParts = 8;
const maxIdLength = 32; // callers choose the ids

/**
 * Describes the parts of a prompt that requests share, for a log line.
 *
 * @param partIds - ids of the parts, in order
 * @returns the first ids, separated by commas; undefined if there are none
 */
export const describeSharedParts = (partIds: readonly string[]): string | undefined =>
    partIds.length === 0
        ? undefined
        : partIds.slice(0, maxListedParts).map(id => id.slice(0, maxIdLength)).join(",");
