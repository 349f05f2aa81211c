import { hashToUint32 } from "./hashToUint32";

/**
 * Orders candidates by rendezvous (highest random weight) hashing.
 *
 * @param key - what is to be placed
 * @param candidates - names of the candidates
 * @returns the candidates, the best first; the order changes little when candidates come or go
 */
export const rankByRendezvous = (key: string, candidates: readonly string[]): string[] =>
    candidates
        .map(name => ({ name, weight: hashToUint32(`${key}\u0000${name}`) }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .map(entry => entry.name);
