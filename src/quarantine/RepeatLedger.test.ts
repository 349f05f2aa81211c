import { RepeatLedger } from "./RepeatLedger";

const isKnown = (): boolean => false;
const isAlive = (): boolean => false;
const runMs = 50;

describe("RepeatLedger", () => {
    let ledger: RepeatLedger;
    beforeEach(() => {
        ledger = new RepeatLedger();
    });

    const record = (identity: string, upstream: string, brokeMs: number): void =>
        ledger.record(identity, { upstream, beganMs: brokeMs - runMs, brokeMs });

    const findAt = (nowMs: number): string | undefined =>
        ledger.findCrashingRequest(nowMs, isKnown, isAlive)?.identity;

    it("finds a request half a second after the third upstream crashed under it", () => {
        record("again", "u1", 0);
        record("again", "u2", 60);
        expect(findAt(10_000)).toBeUndefined();
        record("again", "u3", 120);
        expect(findAt(600)).toBeUndefined();
        expect(ledger.findCrashingRequest(620, isKnown, isAlive)).toEqual({
            identity: "again",
            upstreams: 3,
        });
    });

    it("counts upstreams that crashed at the same moment under several repeats as one", () => {
        ["u1", "u2", "u3", "u4"].forEach((upstream, index) => record("popular", upstream, index * 10));
        record("popular", "u5", 5_000);
        expect(findAt(10_000)).toBeUndefined();
    });

    it("does not count one upstream several times, nor one that works on", () => {
        ["u1", "u2", "u2", "u3"].forEach((upstream, index) => record("again", upstream, index * 1_000));
        const isThirdAlive = (upstream: string): boolean => upstream === "u3";
        expect(ledger.findCrashingRequest(10_000, isKnown, isThirdAlive)).toBeUndefined();
        expect(findAt(10_000)).toBe("again");
    });

    it("does not blame a request that was answered since, and counts its later crashes anew", () => {
        ["u1", "u2", "u3"].forEach((upstream, index) => record("again", upstream, index * 1_000));
        expect(ledger.markSound("again")).toBe(true);
        expect(ledger.markSound("again")).toBe(false);
        record("again", "u4", 3_000);
        expect(findAt(10_000)).toBeUndefined();
    });

    it("does not blame a request that was under way beside the one that explains the crashes", () => {
        ["u1", "u2", "u3", "u4"].forEach((upstream, index) => record("crashing", upstream, index * 1_000));
        ["u2", "u3", "u4"].forEach((upstream, index) => record("beside", upstream, (index + 1) * 1_000));
        expect(findAt(10_000)).toBe("crashing");
        const isFound = (identity: string): boolean => identity === "crashing";
        expect(ledger.findCrashingRequest(10_000, isFound, isAlive)).toBeUndefined();
    });

    it("suspects a request from the third crash on, for a time", () => {
        record("again", "u1", 0);
        record("again", "u2", 60);
        expect(ledger.listSuspects(60, isAlive)).toEqual([]);
        record("again", "u3", 120);
        expect(ledger.listSuspects(120, isAlive)).toEqual(["again"]);
        expect(ledger.listSuspects(40_000, isAlive)).toEqual([]);
    });

    it("forgets old runs, and the oldest requests where there are many", () => {
        record("old", "u1", 0);
        Array.from({ length: 5_000 }, (_unused, index) => record(`r${index}`, "u1", 1_000));
        expect(ledger.markSound("old")).toBe(false);
        expect(ledger.markSound("r4999")).toBe(true);
        ledger.expire(700_000);
        expect(ledger.isEmpty()).toBe(true);
    });
});
