import { hashToUint32 } from "./hashToUint32";

/**
 * Ranks candidates for a key by rendezvous (highest random weight) hashing. When a candidate is added or removed, the
 * order of the others does not change.
 *
 * @param key - the item to be assigned
 * @param candidates - names of the candidates
 * @returns the candidates, highest weight first
 */
export const rankByRendezvous = (key: string, candidates: readonly string[]): string[] =>
    candidates
        .map(name => ({ name, weight: hashToUint32(`${key}\u0000${name}`) }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .map(entry => entry.name);
