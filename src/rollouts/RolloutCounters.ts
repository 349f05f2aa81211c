import type { TimeCounts } from "./AnswerTimes";
import type { AnswerCounts, RouteEvidence } from "./types";

/** Measures by which an answer may be slow. */
export const timeMeasures = {
    /** Time until the whole answer, or the first event of a stream. */
    start: "s",
    /** Mean time between the events of a stream. */
    gap: "g",
} as const;

/** One of {@link timeMeasures}. */
export type TimeMeasure = typeof timeMeasures[keyof typeof timeMeasures];

/** Outcome of an attempt as evidence on a version. */
export type AnswerQuality = keyof AnswerCounts;

const separator = "|";
const kinds = { baseline: "b", candidate: "c", present: "p", moved: "m", old: "o" } as const;

/**
 * Counters of one roll-out by name, which every node contributes to the sums over all nodes. Names hold the kind of the
 * counter and the route or upstream; those of the evidence only rise.
 */
export class RolloutCounters {
    private readonly evidence = new Map<string, number>();
    private readonly present = new Map<string, number>();

    /** @param id - what tells the roll-out apart from others, without `|` */
    constructor(private readonly id: string) {}

    /** Counters of the answers, which count also after this process has ended. */
    get answers(): ReadonlyMap<string, number> {
        return this.evidence;
    }

    /** Counters of what this node does now. */
    get presence(): ReadonlyMap<string, number> {
        return this.present;
    }

    /** Counts an answer of an upstream of another version. */
    countBaseline(route: string, quality: AnswerQuality): void {
        this.add(kinds.baseline, quality, route);
    }

    /** Counts an answer of an upstream of the version. */
    countCandidate(route: string, upstream: string, quality: AnswerQuality): void {
        this.add(kinds.candidate, quality, upstream, route);
    }

    /** Counts the duration of an answer of an upstream of another version. */
    countTime(route: string, measure: TimeMeasure, step: number): void {
        this.add(measure, String(step), route);
    }

    /** Sets whether this node has moved its requests to the version, and its requests at upstreams of other versions. */
    setPresence(isMoved: boolean, requestsAtOld: number): void {
        this.present.set(this.format(kinds.present), 1);
        this.present.set(this.format(kinds.moved), isMoved ? 1 : 0);
        this.present.set(this.format(kinds.old), requestsAtOld);
    }

    /**
     * Reads the sums of this node's counters and those of the others.
     *
     * @param others - the counters of all other nodes by group, also of other roll-outs
     */
    readSums(others: readonly ReadonlyMap<string, number>[]): RolloutSums {
        const sums = new RolloutSums();
        for (const counters of [this.evidence, this.present, ...others]) {
            for (const [name, value] of counters) {
                if (name.startsWith(`${this.id}${separator}`)) {
                    sums.add(name.slice(this.id.length + 1).split(separator), value);
                }
            }
        }
        return sums;
    }

    private add(...parts: readonly string[]): void {
        const name = this.format(...parts);
        this.evidence.set(name, (this.evidence.get(name) ?? 0) + 1);
    }

    private format(...parts: readonly string[]): string {
        return [this.id, ...parts].join(separator);
    }
}

/** Counters of one roll-out, summed over all nodes. */
export class RolloutSums {
    private readonly baseline = new Map<string, AnswerCounts>();
    private readonly candidates = new Map<string, Map<string, AnswerCounts>>();
    private readonly times = new Map<string, Map<number, number>>();
    /** Nodes whose counters were heard of lately. */
    presentNodes = 0;
    /** Nodes that have moved their requests to the version. */
    movedNodes = 0;
    /** Requests in progress at upstreams of other versions. */
    requestsAtOld = 0;

    /** Adds a counter, given by the parts of its name. */
    add([kind, detail, ...rest]: readonly string[], value: number): void {
        switch (kind) {
            case kinds.baseline:
                addQuality(this.baseline, rest.join(separator), detail, value);
                return;
            case kinds.candidate: {
                const [upstream, ...route] = rest;
                const name = route.join(separator);
                const byUpstream = this.candidates.get(name) ?? new Map<string, AnswerCounts>();
                addQuality(byUpstream, upstream, detail, value);
                this.candidates.set(name, byUpstream);
                return;
            }
            case kinds.present:
                this.presentNodes += value;
                return;
            case kinds.moved:
                this.movedNodes += value;
                return;
            case kinds.old:
                this.requestsAtOld += value;
                return;
            default:
                this.addTime(`${kind}${separator}${rest.join(separator)}`, Number(detail), value);
        }
    }

    /** Lists the evidence by route. */
    listEvidence(): RouteEvidence[] {
        const routes = new Set([...this.baseline.keys(), ...this.candidates.keys()]);
        return [...routes].map(route => ({
            route,
            baseline: this.baseline.get(route) ?? noAnswers,
            candidates: this.candidates.get(route) ?? new Map<string, AnswerCounts>(),
        }));
    }

    /** Reads the durations of answers of the other versions on a route. */
    readTimes(route: string, measure: TimeMeasure): TimeCounts {
        return this.times.get(`${measure}${separator}${route}`) ?? new Map<number, number>();
    }

    private addTime(name: string, step: number, value: number): void {
        const counts = this.times.get(name) ?? new Map<number, number>();
        this.times.set(name, counts.set(step, (counts.get(step) ?? 0) + value));
    }
}

const noAnswers: AnswerCounts = { good: 0, bad: 0 };

const addQuality = (
    counts: Map<string, AnswerCounts>,
    name: string,
    quality: string,
    value: number,
): void => {
    const before = counts.get(name) ?? noAnswers;
    const good = before.good + (quality === "good" ? value : 0);
    counts.set(name, { good, bad: before.bad + (quality === "bad" ? value : 0) });
};
