import { ChangeDetector } from "./ChangeDetector";
import type { AnswerCounts } from "./types";

const minOthers = 10; // answers of the other upstreams, without which a single one does not speak for the version
const maxBadOfOne = 25; // bad answers of a single upstream, from which it does whatever the others do
const minBadAnswers = 8;
const certainDeviations = 4; // standard deviations above the tolerated share
const manyBadAnswers = 35; // from which the upstreams but one need to be bad less certainly
const likelyDeviations = 2;

/**
 * Answers of the upstreams of one version, on one route or on all. One faulty upstream does not make a version bad: the
 * answers count as bad only if they do so without any single upstream. Where the others have hardly answered, that has to be
 * waited for, up to a number of bad answers.
 */
export class AnswerSeries {
    private readonly all: ChangeDetector;
    /** Detectors for the answers of all upstreams but one, by that one. */
    private readonly others = new Map<string, ChangeDetector>();
    private latest: AnswerCounts = { good: 0, bad: 0 };
    private hasBadAnswers = false;

    /** @param effects - increases of the share of bad answers that are to be found, the least one first */
    constructor(private readonly effects: readonly number[]) {
        this.all = new ChangeDetector({ effects });
    }

    /** All answers. */
    get counts(): AnswerCounts {
        return this.latest;
    }

    /** Whether the version is bad by these answers. */
    get isBad(): boolean {
        return this.hasBadAnswers;
    }

    /** Whether the version is good by these answers. */
    get isGood(): boolean {
        return this.all.isGood;
    }

    /**
     * Takes in the answers since the last call.
     *
     * @param byUpstream - all answers so far, by upstream
     * @param toleratedShare - share of bad answers up to which the version counts as good
     */
    update(byUpstream: ReadonlyMap<string, AnswerCounts>, toleratedShare: number): void {
        this.latest = sumCounts([...byUpstream.values()]);
        this.all.update(this.latest, toleratedShare);
        let isVersionBad = this.all.isAlarming || isBad(this.latest, toleratedShare, certainDeviations);
        const deviations = this.latest.bad >= manyBadAnswers ? likelyDeviations : certainDeviations;
        for (const [id, own] of byUpstream) {
            const rest = { good: this.latest.good - own.good, bad: this.latest.bad - own.bad };
            const detector = this.others.get(id) ?? new ChangeDetector({ effects: this.effects });
            this.others.set(id, detector);
            detector.update(rest, toleratedShare);
            isVersionBad &&= rest.good + rest.bad >= minOthers
                ? detector.isAlarming || isBad(rest, toleratedShare, deviations)
                : own.bad >= maxBadOfOne || byUpstream.size === 1;
        }
        this.hasBadAnswers = isVersionBad;
    }
}

/** Adds up counts of answers. */
export const sumCounts = (counts: readonly AnswerCounts[]): AnswerCounts => ({
    good: counts.reduce((sum, { good }) => sum + good, 0),
    bad: counts.reduce((sum, { bad }) => sum + bad, 0),
});

/** Whether there are so many bad answers that chance does not explain them. */
const isBad = ({ good, bad }: AnswerCounts, toleratedShare: number, deviations: number): boolean => {
    const count = good + bad;
    const deviation = Math.sqrt(count * toleratedShare * (1 - toleratedShare));
    return bad >= minBadAnswers && bad - count * toleratedShare >= deviations * deviation;
};
