import type { Row } from "../platform/types";

const fencingNumbersPerEra = 1_000_000; // numbers of a later era are higher than those that the store may have lost

/**
 * Computes the fencing number of the holding that replaces a row. The row's revision increases with each write, whoever
 * writes. The number in the row does not count: it is lower, unless another writer has put it there. Earlier versions add
 * one to it with each takeover, and a takeover is a write.
 *
 * @param row - the row that will be replaced; its value may be of another writer
 * @param era - era of the store
 * @returns a number higher than those of all holdings before
 */
export const computeNextFencing = (row: Pick<Row, "revision">, era: number): number =>
    era * fencingNumbersPerEra + row.revision;
