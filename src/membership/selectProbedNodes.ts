import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { splitByDataCentre } from "../_lib/splitByDataCentre";
import type { PeerAddress } from "../peers/PeerNetwork";

const probedPerDataCentre = 3;

/**
 * Selects the gone nodes that a node goes on dialling, so that the two sides of a healed network partition find each
 * other: a few in each data centre, the same ones at all nodes.
 *
 * @param gone - recorded nodes that count as gone
 * @returns the nodes to dial
 */
export const selectProbedNodes = (gone: readonly PeerAddress[]): PeerAddress[] => {
    return [...splitByDataCentre(gone).values()].flatMap(nodes => {
        const selected = new Set(
            rankByRendezvous("probe", nodes.map(node => node.nodeId)).slice(0, probedPerDataCentre),
        );
        return nodes.filter(node => selected.has(node.nodeId));
    });
};
