/** Input of {@link computeReadAgeMs}. */
export interface ReadAgeInput {
    /** Place of the node in the order in which nodes read for all, from 0. */
    readonly rank: number;
    /** Maximum time that one call of a regular reader waits for changes, in milliseconds. */
    readonly waitMs: number;
}

const regularReaders = 2; // the loss of one leaves the others informed without a pause
const silenceFactor = 1.25; // of the time between two confirmations by one reader
const silenceMarginMs = 100;
const rankDelayMs = 100; // within it, what one node reads has reached the others
const maxRankDelays = 10;

/**
 * Computes the age of a node's records at which it reads the store itself. The first nodes always read; the others read
 * one after the other when no reading has reached them, so that a node whose successors are informed by it reads alone.
 *
 * @param input - the node's rank, and the waiting time of the readers
 * @returns milliseconds; 0 for nodes that always read
 */
export const computeReadAgeMs = ({ rank, waitMs }: ReadAgeInput): number =>
    rank < regularReaders
        ? 0
        : waitMs * silenceFactor + silenceMarginMs
            + Math.min(maxRankDelays, rank - regularReaders) * rankDelayMs;
