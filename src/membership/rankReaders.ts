import { rankByRendezvous } from "../_lib/rankByRendezvous";
import type { Member } from "./types";

/** Options of {@link rankReaders}. */
export interface RankReadersOptions {
    /** Name of what is read. Different feeds are read by different nodes. */
    readonly feed: string;
    readonly members: readonly Pick<Member, "nodeId" | "dataCentre">[];
}

/**
 * Ranks the members in the order in which they read a feed for all. The second one is in another data centre than the
 * first, if there is one.
 *
 * @param options - the feed and the live members
 * @returns names of the members
 */
export const rankReaders = ({ feed, members }: RankReadersOptions): string[] => {
    const centres = new Map(members.map(member => [member.nodeId, member.dataCentre]));
    const [first, ...others] = rankByRendezvous(feed, [...centres.keys()]);
    if (first === undefined) {
        return [];
    }
    const second = others.find(nodeId => centres.get(nodeId) !== centres.get(first)) ?? others[0];
    return [
        first,
        ...others.filter(nodeId => nodeId === second),
        ...others.filter(nodeId => nodeId !== second),
    ];
};
