import type { Membership } from "./Membership";
import { selectPollers } from "./selectPollers";

/** Options of {@link isPoller}. */
export interface IsPollerOptions {
    readonly membership: Pick<Membership, "listLive">;
    readonly nodeId: string;
    /** What is watched. */
    readonly duty: string;
    /** How many watch at a time; the default is that of `selectWatchers`. */
    readonly count?: number;
}

/**
 * Tells whether a node is one of the few that watch something for all now.
 *
 * @param options - the node, the members and the duty
 */
export const isPoller = (options: IsPollerOptions): boolean => {
    const { duty, count } = options;
    const memberIds = options.membership.listLive().map(member => member.nodeId);
    return selectPollers({ duty, memberIds, count }).includes(options.nodeId);
};
