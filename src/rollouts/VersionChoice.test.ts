import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { createTrackedInstance, type TrackedInstance } from "../placement/createTrackedInstance";
import type { UpstreamInstance } from "../placement/types";
import type { UpstreamClient } from "../upstreams/UpstreamClient";
import { moveMs } from "./planRollout";
import { RolloutState } from "./RolloutState";
import { type RolloutPhase, rolloutPhases, type RolloutRecord } from "./types";
import { VersionChoice } from "./VersionChoice";

const clock = new FakeClock();
const bounds = { exposureShare: 0.1, exposureSlack: 50 };

const createUpstream = (id: string, softwareVersion: string): TrackedInstance =>
    createTrackedInstance({ id, softwareVersion } as UpstreamInstance, {} as UpstreamClient);

const old = ["o1", "o2", "o3"].map(id => createUpstream(id, "v1"));
const candidates = ["n1", "n2", "n3"].map(id => createUpstream(id, "v2"));
const all = [...old, ...candidates];

const createRecord = (phase: RolloutPhase, fields: Partial<RolloutRecord> = {}): RolloutRecord => ({
    service: "app",
    version: "v2",
    era: 1,
    revision: 1,
    previousRevision: 0,
    durationMs: 60_000,
    phase,
    startedStoreMs: 0,
    phaseStoreMs: 0,
    isRefused: false,
    reason: "",
    barred: [],
    replaced: [],
    fencing: 1,
    ...fields,
});

const createState = (record: RolloutRecord): RolloutState => {
    const state = new RolloutState(record, { bounds, nodes: 1, nowMs: clock.readMonotonicMs() });
    state.isInformed = true;
    return state;
};

const createChoice = (state: RolloutState | undefined, listed = all, seed = 1): VersionChoice =>
    new VersionChoice({
        version: "v2",
        route: "r",
        readState: () => state,
        listInService: () => listed,
        exposureShare: bounds.exposureShare,
        random: new SeededRandom(seed),
        readNowMs: () => clock.readMonotonicMs(),
    });

const listVersions = (upstreams: readonly TrackedInstance[]): (string | undefined)[] => [
    ...new Set(upstreams.map(({ instance }) => instance.softwareVersion)),
];

describe("VersionChoice", () => {
    it("tries a version with the requests that the budget allows, at few of its upstreams, once each", () => {
        const state = createState(createRecord(rolloutPhases.trial));
        const choice = createChoice(state);
        const selected = choice.select(all, false);
        expect(listVersions(selected)).toEqual(["v2"]);
        expect(selected).toHaveLength(2);
        choice.markSent(selected[0]);
        expect(listVersions(choice.select(all, false))).toEqual(["v1"]);
        for (let sent = 1; state.budget.available > 0; sent += 1) {
            expect(sent).toBeLessThan(bounds.exposureSlack);
            createChoice(state).markSent(selected[0]);
        }
        expect(listVersions(createChoice(state).select(all, false))).toEqual(["v1"]);
    });

    // Guards against requests at a bad version, and at one of which this node does not hear the others' answers.
    it("keeps requests from a version while it is not known whether it is bad", () => {
        const uninformed = createState(createRecord(rolloutPhases.trial));
        uninformed.isInformed = false;
        expect(listVersions(createChoice(uninformed).select(all, false))).toEqual(["v1"]);
        expect(createChoice(uninformed).select(candidates, true)).toEqual([]);
        expect(createChoice(uninformed).select(candidates, false)).toEqual([]);
        expect(listVersions(createChoice(undefined).select(all, false))).toEqual(["v1"]);
    });

    // Guards against refusing all requests after a start of all nodes, when a completed version is the only one.
    it("uses a version of which nothing is known yet if no other one is listed", () => {
        expect(createChoice(undefined, candidates).select(candidates, false)).toEqual(candidates);
    });

    // Guards against requests at a version that turns bad while the traffic moves, when no other upstream can be used.
    it("leaves a version that turns bad while requests move to it", () => {
        const state = createState(createRecord(rolloutPhases.moving));
        for (let index = 0; index < 40; index += 1) {
            state.counters.countBaseline("r", "good");
            state.counters.countCandidate("r", `n${index % 2}`, "bad");
        }
        state.evaluate(state.counters.readSums([]));
        expect(state.verdict.kind).toBe("bad");
        expect(listVersions(createChoice(state).select(all, false))).toEqual(["v1"]);
        expect(createChoice(state).select(candidates, false)).toEqual([]);
    });

    // Guards against requests that count as exposed though they never reached the version.
    it("takes back a request that was not sent, once", () => {
        const state = createState(createRecord(rolloutPhases.trial));
        const before = state.budget.available;
        const choice = createChoice(state);
        choice.markSent(candidates[0]);
        expect([state.exposed, state.budget.available]).toEqual([1, before - 1]);
        choice.markUnsent();
        choice.markUnsent();
        choice.markSent(old[0]);
        choice.markUnsent();
        expect([state.exposed, state.budget.available]).toEqual([0, before]);
    });

    // Guards against an unproven version that counts as one of the others when an order replaces its own.
    it.each<[RolloutPhase, boolean, string[]]>([
        [rolloutPhases.trial, false, ["v1"]],
        [rolloutPhases.moving, false, ["v1"]],
        [rolloutPhases.rolledBack, false, ["v1"]],
        [rolloutPhases.rolledBack, true, ["v1", "v3"]],
        [rolloutPhases.completed, false, ["v1", "v3"]],
    ])(
        "knows the roll-out before, in the phase %s (refused: %s), until the order's own is known",
        (phase, isRefused, versions) => {
            const state = createState(createRecord(phase, { version: "v3", isRefused }));
            const listed = [...all, createUpstream("m1", "v3")];
            expect(listVersions(createChoice(state, listed).select(listed, false))).toEqual(versions);
        },
    );

    it("lets a stream go on at the version on trial", () => {
        const state = createState(createRecord(rolloutPhases.trial));
        expect(createChoice(state).select(candidates, true)).toEqual(candidates);
    });

    // Guards against requests at upstreams that stop, or that were found bad.
    it.each<[string, RolloutRecord, string[]]>([
        ["rolled back", createRecord(rolloutPhases.rolledBack), ["v1"]],
        ["refused", createRecord(rolloutPhases.rolledBack, { isRefused: true }), ["v1", "v2"]],
        ["completed", createRecord(rolloutPhases.completed, { replaced: ["v1"] }), ["v2"]],
        ["barred before", createRecord(rolloutPhases.completed, { version: "v3", barred: ["v2"] }), [
            "v1",
        ]],
    ])("selects by the end of the roll-out: %s", (_name, record, versions) => {
        expect(listVersions(createChoice(createState(record)).select(all, false))).toEqual(versions);
    });

    it("moves requests step by step, and falls back to what can be used", async () => {
        const state = createState(createRecord(rolloutPhases.moving));
        const countMoved = (): number =>
            Array.from({ length: 100 }, (_, seed) => createChoice(state, all, seed + 1).select(all, false))
                .filter(selected => listVersions(selected)[0] === "v2").length;
        expect(countMoved()).toBeLessThan(30);
        await clock.advance(moveMs);
        expect(countMoved()).toBe(100);
        expect(createChoice(state).select(old, false)).toEqual(old);
        expect(createChoice(state).select(old, true)).toEqual(old);
    });
});
