import type { Row } from "../platform/types";
import type { LeaseRow } from "./types";

const fencingNumbersPerEra = 1_000_000; // numbers of a later era are higher than those that the store may have lost
const maxFencing = 2 ** 52; // leaves room for numbers after the highest one that is believed

/**
 * Computes the fencing number of the holding that replaces a row. The row's revision increases with each write, whoever
 * writes; the number in the row counts as well, since earlier versions only added one to it.
 *
 * @param row - the row that will be replaced; its value may be of another writer
 * @param era - era of the store
 * @returns a number higher than those of all holdings before
 */
export const computeNextFencing = (row: Row, era: number): number =>
    Math.max(readFencing(row) + 1, era * fencingNumbersPerEra + row.revision);

/** Reads the row's fencing number; 0 if it has none that can be one. */
const readFencing = (row: Row): number => {
    const { fencing } = (row.value ?? {}) as Partial<LeaseRow>;
    return Number.isSafeInteger(fencing) && fencing! > 0 && fencing! < maxFencing ? fencing! : 0;
};
