/**
 * Joins buffers. A single one is not copied.
 *
 * @param parts - the buffers, in order
 * @returns their bytes
 */
export const joinParts = (parts: readonly Buffer[]): Buffer =>
    parts.length === 1 ? parts[0] : Buffer.concat(parts);
