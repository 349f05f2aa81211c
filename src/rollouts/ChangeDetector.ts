import type { AnswerCounts } from "./types";

/** Options of {@link ChangeDetector}. */
export interface ChangeDetectorOptions {
    /** Increases of the share of bad answers that are to be found, above the tolerated one; the least one first. */
    readonly effects: readonly number[];
}

/** Log likelihood ratio at which a version counts as bad; bounds false alarms, see docs/design/rollouts.md. */
export const alarmLevel = 8;
/** Log likelihood ratio below which a version counts as good: one bad version in a hundred passes. */
export const goodLevel = -4.6;

/**
 * Compares the share of bad answers of a version with a tolerated share, answer by answer: a sequential test over all
 * answers (Wald), and one that forgets good answers (CUSUM) and so finds a version that turns bad later. Large increases are
 * found sooner by tests for large increases.
 */
export class ChangeDetector {
    private seen: AnswerCounts = { good: 0, bad: 0 };
    private readonly alarms: number[];
    private total = 0;

    constructor(private readonly options: ChangeDetectorOptions) {
        this.alarms = options.effects.map(() => 0);
    }

    /**
     * Takes in the answers since the last call.
     *
     * @param counts - all answers so far; a count that has fallen, as after the loss of a node, adds nothing
     * @param toleratedShare - share of bad answers up to which a version counts as good, above 0 and below 1
     */
    update(counts: AnswerCounts, toleratedShare: number): void {
        const added = {
            good: Math.max(0, counts.good - this.seen.good),
            bad: Math.max(0, counts.bad - this.seen.bad),
        };
        this.seen = counts;
        const ratios = this.options.effects.map(effect => computeLogRatio(added, toleratedShare, effect));
        this.total += ratios[0];
        ratios.forEach((ratio, index) => this.alarms[index] = Math.max(0, this.alarms[index] + ratio));
    }

    /** Whether the version is bad, now or since some time. */
    get isAlarming(): boolean {
        return Math.max(...this.alarms) >= alarmLevel;
    }

    /** Whether the version is good by all its answers, and nothing lately speaks against it. */
    get isGood(): boolean {
        return this.total <= goodLevel && Math.max(...this.alarms) < alarmLevel / 2;
    }
}

const maxShare = 0.95;

/** Log likelihood ratio of answers of a version that is worse by an effect, and of one at the tolerated share. */
const computeLogRatio = ({ good, bad }: AnswerCounts, toleratedShare: number, effect: number): number => {
    const badShare = Math.min(maxShare, toleratedShare + effect);
    return bad * Math.log(badShare / toleratedShare)
        + good * Math.log((1 - badShare) / (1 - toleratedShare));
};
