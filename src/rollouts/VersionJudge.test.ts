import { SeededRandom } from "../kernel/SeededRandom";
import type { AnswerCounts, RouteEvidence } from "./types";
import { VersionJudge } from "./VersionJudge";

/** Shares of bad answers by route and upstream of the version, at one of its answers by number. */
type BadShare = (answer: number, route: string, upstream: number) => number;

interface PlayedTrial {
    readonly kind: "good" | "bad" | "open";
    readonly answers: number;
    /** Bad answers that the version has given. */
    readonly bad: number;
}

const routeShares: readonly (readonly [string, number])[] = [["often", 0.7], ["less", 0.2], ["seldom", 0.1]];
const exposure = 0.08;
const batch = 5;
const maxAnswers = 600;
const maxBadAnswers = 50; // after which the version has to be found bad
const seeds = 300;
const maxWrongShare = 0.01;

/** Plays answers to the version, and those to the others beside them, until the end or until the version is found bad. */
const playTrial = (
    seed: number,
    baseShare: number,
    versionShare: BadShare,
    answers = maxAnswers,
): PlayedTrial => {
    const random = new SeededRandom(seed);
    const judge = new VersionJudge();
    const evidence = routeShares.map(([route]) => ({
        route,
        baseline: { good: 0, bad: 0 },
        candidates: new Map<string, AnswerCounts>(),
    }));
    let verdict = judge.judge(evidence);
    let count = 0;
    let bad = 0;
    while (count < answers && verdict.kind !== "bad") {
        for (let index = 0; index < batch; index += 1) {
            const route = drawRoute(random, evidence);
            const upstream = random.drawInt(3);
            const isBad = random.drawFloat() < versionShare(count, route.route, upstream);
            const before = route.candidates.get(`u${upstream}`) ?? { good: 0, bad: 0 };
            route.candidates.set(`u${upstream}`, addAnswer(before, isBad));
            count += 1;
            bad += Number(isBad);
        }
        for (let index = 0; index < batch / exposure; index += 1) {
            const route = drawRoute(random, evidence);
            route.baseline = addAnswer(route.baseline, random.drawFloat() < baseShare);
        }
        verdict = judge.judge(evidence);
    }
    return { kind: verdict.kind, answers: count, bad };
};

const drawRoute = <T extends RouteEvidence>(random: SeededRandom, evidence: readonly T[]): T => {
    let drawn = random.drawFloat();
    return evidence.find((_, index) => (drawn -= routeShares[index][1]) < 0) ?? evidence[0];
};

const addAnswer = ({ good, bad }: AnswerCounts, isBad: boolean): AnswerCounts => ({
    good: good + Number(!isBad),
    bad: bad + Number(isBad),
});

const playAll = (baseShare: number, versionShare: BadShare, answers?: number): PlayedTrial[] =>
    Array.from({ length: seeds }, (_, seed) => playTrial(seed + 1, baseShare, versionShare, answers));

const countWrong = (trials: readonly PlayedTrial[], isWrong: (trial: PlayedTrial) => boolean): number =>
    trials.filter(isWrong).length;

describe("VersionJudge", () => {
    // Guards against roll-backs of versions that are as good as the others.
    it.each([[0], [0.02], [0.14]])(
        "calls a good version bad in at most 1 of 100 trials, others at %d",
        share => {
            const trials = playAll(share, () => share);
            expect(countWrong(trials, ({ kind }) => kind === "bad")).toBeLessThanOrEqual(
                seeds * maxWrongShare,
            );
            expect(countWrong(trials, ({ kind }) => kind !== "good")).toBeLessThanOrEqual(seeds * 0.05);
        },
    );

    // Guards against a faulty upstream that is taken for a faulty version.
    it("does not call a version bad for one faulty upstream", () => {
        const trials = playAll(0.01, (_answer, _route, upstream) => upstream === 0 ? 0.45 : 0.01);
        expect(countWrong(trials, ({ kind }) => kind === "bad")).toBeLessThanOrEqual(seeds * maxWrongShare);
    });

    // Guards against bad versions that are completed, or that go on getting requests.
    it.each<[string, number, BadShare]>([
        ["at once", 0, () => 0.3],
        ["at once, others fail as well", 0.14, () => 0.14 + 0.86 * 0.35],
        ["wholly", 0.01, () => 1],
        ["later", 0.01, answer => answer < 200 ? 0.01 : 0.3],
        ["on the route with most requests", 0.01, (_answer, route) => route === "often" ? 0.4 : 0.01],
        ["on the route with fewest requests", 0.01, (_answer, route) => route === "seldom" ? 0.6 : 0.01],
    ])("finds a version that is bad %s", (_name, baseShare, versionShare) => {
        const trials = playAll(baseShare, versionShare);
        expect(countWrong(trials, ({ kind }) => kind !== "bad")).toBeLessThanOrEqual(seeds * maxWrongShare);
        expect(countWrong(trials, ({ bad }) => bad > maxBadAnswers)).toBeLessThanOrEqual(
            seeds * maxWrongShare,
        );
    });

    // Guards against a verdict by too few answers.
    it.each([[0.01], [0.3]])("is open after 10 answers of which %d are bad", share => {
        const trials = playAll(0.01, () => share, 10);
        expect(countWrong(trials, ({ kind }) => kind === "good")).toBe(0);
    });
});
