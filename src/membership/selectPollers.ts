import { rankByRendezvous } from "../_lib/rankByRendezvous";

/** Options of {@link selectPollers}. */
export interface SelectPollersOptions {
    /** What is watched; different duties fall to different nodes. */
    readonly duty: string;
    /** Names of the live members. */
    readonly memberIds: readonly string[];
    /** How many watch at a time; default 2. */
    readonly count?: number;
}

const defaultWatchers = 2;

/**
 * Selects the few members that poll a platform service for all. Which ones may differ for a moment
 * between nodes; that costs only doubled polls.
 *
 * @param options - duty and members
 * @returns names of the watching members
 */
export const selectPollers = (options: SelectPollersOptions): string[] =>
    rankByRendezvous(options.duty, options.memberIds).slice(0, options.count ?? defaultWatchers);
