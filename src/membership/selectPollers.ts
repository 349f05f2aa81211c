import { rankByRendezvous } from "../_lib/rankByRendezvous";

/** Options of {@link selectPollers}. */
export interface SelectPollersOptions {
    /** Name of the job. Different jobs are assigned to different nodes. */
    readonly job: string;
    /** Names of the live members. */
    readonly memberIds: readonly string[];
    /** Number of nodes that do the job at a time; default 2. */
    readonly count?: number;
}

const defaultCount = 2;

/**
 * Selects the few members that do a job on behalf of the cluster, such as polling the cloud, by rendezvous hashing.
 * Nodes with different views of the membership may select different members for a moment, which causes only duplicate
 * polls.
 *
 * @param options - the job and the members
 * @returns names of the selected members
 */
export const selectPollers = (options: SelectPollersOptions): string[] =>
    rankByRendezvous(options.job, options.memberIds).slice(0, options.count ?? defaultCount);
