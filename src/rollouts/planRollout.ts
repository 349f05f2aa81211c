import { type RolloutPhase, rolloutPhases, type RolloutRecord, type VersionVerdict } from "./types";

/** Options of {@link planRollout}. */
export interface PlanRolloutOptions {
    readonly record: RolloutRecord;
    /** Present time on the store's clock, in milliseconds. */
    readonly nowMs: number;
    readonly verdict: VersionVerdict;
    /** Longest time that a request to the service may take, in milliseconds. */
    readonly longestRequestMs: number;
    /** Whether every live node has moved its requests to the version. */
    readonly haveAllMoved: boolean;
    /** Requests of all nodes in progress at upstreams of other versions. */
    readonly requestsAtOld: number;
    /** Whether an upstream of the version can get requests. */
    readonly hasUpstream: boolean;
}

/** The next phase of a roll-out. */
export interface RolloutStep {
    readonly phase: RolloutPhase;
    readonly reason: string;
}

const minTrialShare = 0.4; // of the duration
const maxTrialShare = 0.7;
const lastTrialShare = 0.9; // after which what is left is too short to move the traffic
/** Time for which all requests move to the version, in milliseconds. */
export const moveMs = 2_000;
const settleMs = 1_500; // reports of all nodes, and the write of the outcome
const maxReserveMs = 15_000; // left of the duration for requests at the other versions to end

/**
 * Plans the next step of a roll-out. A bad version is rolled back at once. A good one is moved to as late as the duration
 * allows, as it may turn bad, and completed when no request is left at the other versions. A version on which there is too
 * little evidence when the time ends is rolled back: nothing is lost by it, and it can be ordered again.
 *
 * @param options - the record, the verdict and the state of the nodes
 * @returns the step; undefined to stay in the present phase
 */
export const planRollout = (options: PlanRolloutOptions): RolloutStep | undefined => {
    const { record, verdict } = options;
    const { phase } = record;
    if (phase === rolloutPhases.completed || phase === rolloutPhases.rolledBack) {
        return undefined;
    }
    if (verdict.kind === "bad") {
        return { phase: rolloutPhases.rolledBack, reason: verdict.reason };
    }
    return phase === rolloutPhases.trial ? planEndOfTrial(options) : planCompletion(options);
};

const planEndOfTrial = (options: PlanRolloutOptions): RolloutStep | undefined => {
    const { record, nowMs, verdict, hasUpstream } = options;
    const elapsedMs = nowMs - record.startedStoreMs;
    if (verdict.kind === "good" && hasUpstream && elapsedMs >= computeTrialMs(options)) {
        return { phase: rolloutPhases.moving, reason: verdict.reason };
    }
    if (elapsedMs >= record.durationMs * lastTrialShare) {
        const reason = hasUpstream
            ? `too little evidence when the time ended: ${verdict.reason}`
            : "no upstream of the version can get requests";
        return { phase: rolloutPhases.rolledBack, reason };
    }
    return undefined;
};

/** Computes how long a version is on trial at least, in milliseconds. */
const computeTrialMs = ({ record, longestRequestMs }: PlanRolloutOptions): number => {
    const { durationMs } = record;
    const reserveMs = moveMs + settleMs + Math.min(maxReserveMs, longestRequestMs);
    return Math.min(durationMs * maxTrialShare, Math.max(durationMs * minTrialShare, durationMs - reserveMs));
};

const planCompletion = (options: PlanRolloutOptions): RolloutStep | undefined => {
    const { record, nowMs, longestRequestMs, haveAllMoved, requestsAtOld } = options;
    const elapsedMs = nowMs - record.phaseStoreMs;
    const areRequestsOver = elapsedMs >= moveMs + settleMs + longestRequestMs;
    const isIdle = haveAllMoved && requestsAtOld === 0 && elapsedMs >= moveMs + settleMs;
    if (isIdle || areRequestsOver) {
        return { phase: rolloutPhases.completed, reason: record.reason };
    }
    return undefined;
};
