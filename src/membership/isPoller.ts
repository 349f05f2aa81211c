import type { Membership } from "./Membership";
import { selectPollers } from "./selectPollers";

/** Options of {@link isPoller}. */
export interface IsPollerOptions {
    readonly membership: Pick<Membership, "listLive">;
    readonly nodeId: string;
    /** Name of the job. */
    readonly job: string;
    /** Number of nodes that do the job at a time; default as in {@link selectPollers}. */
    readonly count?: number;
}

/**
 * Tells whether a node is one of the few that currently do a job on behalf of the cluster, such as polling the cloud.
 *
 * @param options - the node, the members and the job
 */
export const isPoller = (options: IsPollerOptions): boolean => {
    const { job, count } = options;
    const memberIds = options.membership.listLive().map(member => member.nodeId);
    return selectPollers({ job, memberIds, count }).includes(options.nodeId);
};
