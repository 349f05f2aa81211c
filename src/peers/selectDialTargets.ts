import { hashToUint32 } from "../_lib/hashToUint32";

/** Options of {@link selectDialTargets}. */
export interface SelectDialTargetsOptions {
    readonly nodeId: string;
    /** Names of all members. May include this node. */
    readonly memberIds: readonly string[];
    /** Up to this many members every pair is linked; above it, nodes at ring distances 1, 2, 4, … are. Default 16. */
    readonly maxFullMeshMembers?: number;
}

const defaultMaxFullMeshMembers = 16;

/**
 * Selects the members that a node dials. In a small cluster the links form a full mesh, in which the node with the
 * lesser name dials. In a larger one they form a connected graph whose degree grows with the logarithm of the number of
 * members, by the finger distances of Chord (Stoica et al. 2001).
 *
 * @param options - the node and the members
 * @returns names of the members to dial
 */
export const selectDialTargets = (options: SelectDialTargetsOptions): string[] => {
    const others = options.memberIds.filter(id => id !== options.nodeId);
    if (others.length < (options.maxFullMeshMembers ?? defaultMaxFullMeshMembers)) {
        return others.filter(id => id > options.nodeId);
    }
    const ring = [...others, options.nodeId].sort((a, b) =>
        hashToUint32(a) - hashToUint32(b) || (a < b ? -1 : 1)
    );
    const position = ring.indexOf(options.nodeId);
    const targets = new Set<string>();
    for (let distance = 1; distance <= ring.length / 2; distance *= 2) {
        targets.add(ring[(position + distance) % ring.length]);
    }
    return [...targets];
};
