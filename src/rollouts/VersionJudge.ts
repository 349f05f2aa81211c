import { AnswerSeries, sumCounts } from "./AnswerSeries";
import type { AnswerCounts, RouteEvidence, VersionVerdict } from "./types";

const tolerance = 0.03; // share of bad answers above the other versions' that callers do not notice
const totalEffects = [0.12, 0.3];
const routeEffects = [0.3]; // on one route, where there are few answers
const minRouteShare = 0.05; // of the service's requests, from which a route is judged by itself
const minBaseline = 20; // answers of the other versions on a route, below which those on all routes count
const maxToleratedShare = 0.8;

/**
 * Judges a software version by its answers, compared with those of the other versions on the same routes at the same
 * time.
 */
export class VersionJudge {
    private readonly total = new AnswerSeries(totalEffects);
    private readonly routes = new Map<string, AnswerSeries>();

    /**
     * Judges a version.
     *
     * @param evidence - all answers so far, by route
     */
    judge(evidence: readonly RouteEvidence[]): VersionVerdict {
        const baseline = sumCounts(evidence.map(route => route.baseline));
        this.total.update(mergeRoutes(evidence), computeToleratedShare(baseline));
        const judged = evidence.filter(route => isJudged(route, baseline));
        judged.forEach(route => this.updateRoute(route, baseline));
        if (this.total.isBad) {
            return { kind: "bad", reason: describe("on all routes", this.total.counts, baseline) };
        }
        const bad = judged.find(({ route }) => this.routes.get(route)!.isBad);
        if (bad) {
            return { kind: "bad", reason: this.describeRoute(bad) };
        }
        const open = judged.find(({ route }) => !this.routes.get(route)!.isGood);
        if (open) {
            return { kind: "open", reason: this.describeRoute(open) };
        }
        const kind = this.total.isGood ? "good" : "open";
        return { kind, reason: describe("on all routes", this.total.counts, baseline) };
    }

    private updateRoute({ route, baseline, candidates }: RouteEvidence, all: AnswerCounts): void {
        const series = this.routes.get(route) ?? new AnswerSeries(routeEffects);
        this.routes.set(route, series);
        const compared = baseline.good + baseline.bad < minBaseline ? all : baseline;
        series.update(candidates, computeToleratedShare(compared));
    }

    private describeRoute({ route, baseline }: RouteEvidence): string {
        return describe(`on route ${route}`, this.routes.get(route)!.counts, baseline);
    }
}

/** Whether a route has enough of the service's requests to be judged by itself. */
const isJudged = ({ baseline }: RouteEvidence, all: AnswerCounts): boolean =>
    baseline.good + baseline.bad >= Math.max(1, (all.good + all.bad) * minRouteShare);

/** Share of bad answers up to which a version counts as good. */
const computeToleratedShare = ({ good, bad }: AnswerCounts): number =>
    Math.min(maxToleratedShare, (bad + 0.5) / (good + bad + 1) + tolerance);

/** Adds up the answers of each upstream over all routes. */
const mergeRoutes = (evidence: readonly RouteEvidence[]): Map<string, AnswerCounts> => {
    const merged = new Map<string, AnswerCounts>();
    for (const { candidates } of evidence) {
        for (const [id, counts] of candidates) {
            merged.set(id, sumCounts([counts, merged.get(id) ?? { good: 0, bad: 0 }]));
        }
    }
    return merged;
};

const describe = (where: string, own: AnswerCounts, baseline: AnswerCounts): string =>
    `${own.bad} of ${own.good + own.bad} answers ${where} failed or were slow; `
    + `${baseline.bad} of ${baseline.good + baseline.bad} of the other versions`;
