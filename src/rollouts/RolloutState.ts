import { computeLongestStep, computeTimeStep } from "./AnswerTimes";
import { sumCounts } from "./AnswerSeries";
import { type AttemptOutcome, classifyAttempt, type LongestSteps } from "./classifyAttempt";
import { ExposureBudget } from "./ExposureBudget";
import { formatRolloutId } from "./formatRolloutId";
import { RolloutCounters, type RolloutSums, timeMeasures } from "./RolloutCounters";
import { type RolloutBounds, rolloutPhases, type RolloutRecord, type VersionVerdict } from "./types";
import { VersionJudge } from "./VersionJudge";

const startSlackShare = 0.25; // of the slack; the rest is for requests of nodes that start anew
const enoughAnswers = 5; // on a route, from which on others with fewer answers go first
const minTrialShare = 0.2; // of the requests on the route with most answers
const openVerdict: VersionVerdict = { kind: "open", reason: "no answers yet" };

/** What one node knows of the newest roll-out of a service. */
export class RolloutState {
    readonly counters: RolloutCounters;
    readonly budget: ExposureBudget;
    private readonly judge = new VersionJudge();
    private readonly longestSteps = new Map<string, LongestSteps>();
    /** Answers of the version by route. */
    private readonly answers = new Map<string, number>();
    private presentVerdict = openVerdict;
    private presentRecord: RolloutRecord;
    /** Monotonic time at which this node learned of the present phase, in milliseconds. */
    private phaseSinceMs: number;
    /** Whether the answers that most nodes got are known here up to a moment ago. */
    isInformed = false;
    private exposedCount = 0;

    /**
     * @param record - the roll-out
     * @param options - bounds, number of nodes that share the slack, and monotonic time in milliseconds
     */
    constructor(
        record: RolloutRecord,
        { bounds, nodes, nowMs }: {
            readonly bounds: RolloutBounds;
            readonly nodes: number;
            readonly nowMs: number;
        },
    ) {
        this.presentRecord = record;
        this.phaseSinceMs = nowMs;
        this.counters = new RolloutCounters(this.id);
        this.budget = new ExposureBudget({
            share: bounds.exposureShare,
            slack: bounds.exposureSlack * startSlackShare / nodes,
        });
    }

    /** Requests that this node has sent to the version. */
    get exposed(): number {
        return this.exposedCount;
    }

    /** What tells the roll-out apart from others, the same on all nodes. */
    get id(): string {
        return formatRolloutId(this.presentRecord);
    }

    get record(): RolloutRecord {
        return this.presentRecord;
    }

    /** Verdict on the version by the answers of all nodes; one that it is bad is final. */
    get verdict(): VersionVerdict {
        return this.presentVerdict;
    }

    /** Whether answers are still compared. */
    get isActive(): boolean {
        const { phase } = this.presentRecord;
        return phase === rolloutPhases.trial || phase === rolloutPhases.moving;
    }

    /** Time for which this node has known of the present phase, in milliseconds. */
    readPhaseAgeMs(nowMs: number): number {
        return nowMs - this.phaseSinceMs;
    }

    /** Counts a request that is sent to the version. */
    countExposed(): void {
        this.exposedCount += 1;
        this.budget.take();
    }

    /** Takes a request back that did not reach an upstream. */
    dropExposed(): void {
        this.exposedCount -= 1;
        this.budget.restore();
    }

    /** Adopts a later phase of the same roll-out. */
    advance(record: RolloutRecord, nowMs: number): void {
        if (record.phase !== this.presentRecord.phase) {
            this.phaseSinceMs = nowMs;
        }
        this.presentRecord = record;
    }

    /** Judges the version by the answers of all nodes. */
    evaluate(sums: RolloutSums): void {
        const evidence = sums.listEvidence();
        for (const { route, candidates } of evidence) {
            const { good, bad } = sumCounts([...candidates.values()]);
            this.answers.set(route, good + bad);
            this.longestSteps.set(route, {
                start: computeLongestStep(sums.readTimes(route, timeMeasures.start)),
                gap: computeLongestStep(sums.readTimes(route, timeMeasures.gap)),
            });
        }
        if (this.presentVerdict.kind !== "bad") {
            this.presentVerdict = this.judge.judge(evidence);
        }
    }

    /** Share of the requests on a route that may try the version, so that routes with little traffic are tried as well. */
    readTrialShare(route: string): number {
        const least = Math.min(...this.answers.values());
        const own = this.answers.get(route) ?? 0;
        return Math.max(minTrialShare, Math.min(1, (least + enoughAnswers) / (own + enoughAnswers)));
    }

    /** Counts the outcome of an attempt at an upstream of the version, or of another one. */
    countAttempt(
        { route, upstream, isCandidate }: {
            readonly route: string;
            readonly upstream: string;
            readonly isCandidate: boolean;
        },
        outcome: AttemptOutcome,
    ): void {
        const quality = classifyAttempt(outcome, this.longestSteps.get(route) ?? unknownSteps);
        if (isCandidate) {
            if (quality) {
                this.counters.countCandidate(route, upstream, quality);
            }
            return;
        }
        if (outcome.kind !== "unsent" && outcome.status !== undefined) {
            this.budget.countBaseline();
        }
        if (quality) {
            this.counters.countBaseline(route, quality);
        }
        if (outcome.kind === "answered") {
            this.counters.countTime(route, timeMeasures.start, computeTimeStep(outcome.startMs));
            if (outcome.gapMs !== undefined) {
                this.counters.countTime(route, timeMeasures.gap, computeTimeStep(outcome.gapMs));
            }
        }
    }
}

const unknownSteps: LongestSteps = { start: Infinity, gap: Infinity };
