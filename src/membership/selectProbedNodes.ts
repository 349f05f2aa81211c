import { rankByRendezvous } from "../_lib/rankByRendezvous";
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
    const byCentre = new Map<string | undefined, PeerAddress[]>();
    for (const node of gone) {
        byCentre.set(node.dataCentre, [...byCentre.get(node.dataCentre) ?? [], node]);
    }
    return [...byCentre.values()].flatMap(nodes => {
        const selected = new Set(
            rankByRendezvous("probe", nodes.map(node => node.nodeId)).slice(0, probedPerDataCentre),
        );
        return nodes.filter(node => selected.has(node.nodeId));
    });
};
