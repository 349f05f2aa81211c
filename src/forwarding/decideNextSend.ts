import { type RepeatRule, repeatRules } from "../routes/types";

/** What is known after a sending failed. */
export interface FailedSend {
    /** Whether any byte of the request may have reached the upstream. */
    readonly isSent: boolean;
    /** Whether the upstream states that it did not run the request. */
    readonly isNotRun: boolean;
}

/** What was done for the request so far, the failed sending included. */
export interface SendHistory {
    readonly repeat: RepeatRule;
    /** Sendings after which the request may have run. */
    readonly runs: number;
    readonly maxRuns: number;
    /** All sendings. */
    readonly sends: number;
    /** Takes a repeat out of the budget that all nodes share. */
    readonly takeRepeat: () => boolean;
}

/** What follows a failed sending. */
export type NextSend = "another-upstream" | "stop";

const maxSends = 5; // a request that this many upstreams did not take meets a full or broken service

/**
 * Decides whether a request goes to another upstream after a sending failed. A request that may not be repeated goes on
 * only when it has certainly not run.
 *
 * @param failed - the failed sending
 * @param history - what was done before
 * @returns what follows
 */
export const decideNextSend = (failed: FailedSend, history: SendHistory): NextSend => {
    if (history.sends >= maxSends) {
        return "stop";
    }
    if (!failed.isSent) {
        return "another-upstream"; // nothing arrived, so that no repeat is used up
    }
    if (!failed.isNotRun && (history.repeat === repeatRules.once || history.runs >= history.maxRuns)) {
        return "stop";
    }
    return history.takeRepeat() ? "another-upstream" : "stop";
};
