import fc from "fast-check";
import { createRolloutRecord } from "./createRolloutRecord";
import { isNewerRecord, type RecordPosition } from "./isNewerRecord";
import { planRollout, type PlanRolloutOptions } from "./planRollout";
import { type RolloutOrder, rolloutPhases, type RolloutRecord } from "./types";

const durationMs = 60_000;
const longestRequestMs = 15_000;
const configuration = {
    version: 1,
    routes: [],
    services: [{ name: "app", maxConnections: 1 }],
    accounts: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};
const firstOrder: RolloutOrder = {
    kind: "rollout-order",
    service: "app",
    version: "v2",
    durationMs,
    revision: 7,
};

const createRecord = (
    order: Partial<RolloutOrder> = {},
    before?: RolloutRecord,
    listedVersions: readonly (string | undefined)[] = ["v1", "v1"],
): RolloutRecord =>
    createRolloutRecord({
        order: { ...firstOrder, ...order },
        before,
        era: 1,
        configuration,
        listedVersions,
        nowMs: 1_000,
        fencing: 3,
    });

const plan = (elapsedMs: number, options: Partial<PlanRolloutOptions> = {}): string | undefined =>
    planRollout({
        record: createRecord(),
        nowMs: 1_000 + elapsedMs,
        verdict: { kind: "good", reason: "r" },
        longestRequestMs,
        haveAllMoved: false,
        requestsAtOld: 0,
        hasUpstream: true,
        ...options,
    })?.phase;

describe("planRollout", () => {
    // Guards against a version that turns bad after it was moved to too early, and against missing the end.
    it("moves to a good version as late as its requests can still end in time", () => {
        expect(plan(20_000)).toBeUndefined();
        expect(plan(41_000)).toBeUndefined();
        expect(plan(43_000)).toBe("moving");
    });

    it.each([["bad", 1], ["bad", 59_000]] as const)("rolls back a %s version at once", (kind, elapsedMs) => {
        expect(plan(elapsedMs, { verdict: { kind, reason: "r" } })).toBe("rolled-back");
    });

    // Guards against a verdict that is made up as time runs out.
    it("rolls back a version on which there is too little evidence when the time ends", () => {
        const verdict = { kind: "open", reason: "2 answers" } as const;
        expect(plan(53_000, { verdict })).toBeUndefined();
        expect(plan(54_000, { verdict })).toBe("rolled-back");
        expect(plan(54_000, { hasUpstream: false })).toBe("rolled-back");
    });

    // Guards against requests that are cut as the other upstreams stop when the version is completed.
    it("completes when no request is left at the other versions, or none can be", () => {
        const record = { ...createRecord(), phase: rolloutPhases.moving, phaseStoreMs: 1_000 };
        expect(plan(3_000, { record, haveAllMoved: true })).toBeUndefined();
        expect(plan(4_000, { record, haveAllMoved: true })).toBe("completed");
        expect(plan(4_000, { record, haveAllMoved: true, requestsAtOld: 1 })).toBeUndefined();
        expect(plan(4_000, { record })).toBeUndefined();
        expect(plan(19_000, { record })).toBe("completed");
    });

    it("does nothing after the end", () => {
        for (const phase of [rolloutPhases.completed, rolloutPhases.rolledBack]) {
            const record = { ...createRecord(), phase };
            expect(plan(99_000, { record, verdict: { kind: "bad", reason: "r" } })).toBeUndefined();
        }
    });
});

describe("createRolloutRecord", () => {
    it("begins a trial", () => {
        expect(createRecord()).toMatchObject({ phase: "trial", isRefused: false, barred: [], fencing: 3 });
    });

    // Guards against refused orders that keep requests from a version that serves.
    it.each<[string, Partial<RolloutOrder>]>([
        ["of an unknown service", { service: "none" }],
        ["without a version", { version: "" }],
        ["of no time", { durationMs: 0 }],
        ["of a year", { durationMs: 31_536_000_000 }],
        ["that cannot be read", { problem: "to: Required" }],
    ])("refuses an order %s", (_name, order) => {
        const refused = createRecord(order);
        expect(refused).toMatchObject({ phase: "rolled-back", isRefused: true });
        expect(createRecord({ version: "v3", revision: 9 }, refused).barred).toEqual([]);
    });

    it("is completed at once if all upstreams run the version", () => {
        expect(createRecord({}, undefined, ["v2", "v2"]).phase).toBe("completed");
        expect(createRecord({}, undefined, []).phase).toBe("trial");
    });

    // Guards against requests at a version that was on trial when another order came.
    it("bars the version of an order that it replaces, until that one is ordered again", () => {
        const replaced = createRecord({ version: "v3", revision: 9 }, createRecord());
        expect(replaced).toMatchObject({ version: "v3", barred: ["v2"], previousRevision: 7 });
        expect(createRecord({ revision: 11 }, replaced).barred).toEqual(["v3"]);
        const completed = { ...createRecord(), phase: rolloutPhases.completed };
        expect(createRecord({ version: "v3" }, completed).barred).toEqual([]);
    });
});

describe("isNewerRecord", () => {
    const recordArbitrary = fc.record<RecordPosition>({
        era: fc.integer({ min: 1, max: 2 }),
        revision: fc.integer({ min: 1, max: 3 }),
        phase: fc.constantFrom(...Object.values(rolloutPhases)),
    });

    // Guards against nodes that end up in different phases after the same messages.
    it("leads to the same record in whatever order records arrive", () => {
        const adoptAll = (records: readonly RecordPosition[]): RecordPosition | undefined =>
            records.reduce<RecordPosition | undefined>(
                (present, next) => isNewerRecord(next, present) ? next : present,
                undefined,
            );
        fc.assert(fc.property(fc.array(recordArbitrary), records => {
            expect(adoptAll([...records].reverse())).toEqual(adoptAll(records));
        }));
    });
});
