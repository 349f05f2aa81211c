import type { Membership } from "./Membership";
import { selectWatchers } from "./selectWatchers";

/** Options of {@link isWatcher}. */
export interface IsWatcherOptions {
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
export const isWatcher = (options: IsWatcherOptions): boolean => {
    const { duty, count } = options;
    const memberIds = options.membership.listLive().map(member => member.nodeId);
    return selectWatchers({ duty, memberIds, count }).includes(options.nodeId);
};
