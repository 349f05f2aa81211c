import * as fc from "fast-check";
import { CrashLedger } from "./CrashLedger";
import type { BrokenPrompt } from "./types";

const createRequest = (key: string, partIds: string[], hasBegun = true): BrokenPrompt => ({
    key,
    partIds,
    hasBegun,
});
const isKnown = (): boolean => false;

describe("CrashLedger", () => {
    let ledger: CrashLedger;
    beforeEach(() => {
        ledger = new CrashLedger();
    });

    const findAt = (nowMs: number): string | undefined => ledger.findCrashingPart(nowMs, isKnown)?.id;

    it("finds a part after three crashes at different moments under different requests with it", () => {
        ledger.record("u1", [createRequest("r1", ["bad"]), createRequest("r2", ["sound"])], 0);
        ledger.record("u2", [createRequest("r3", ["bad"])], 1_000);
        expect(findAt(10_000)).toBeUndefined();
        ledger.record("u3", [createRequest("r4", ["bad"]), createRequest("r2", ["sound"])], 2_000);
        expect(findAt(2_400)).toBeUndefined();
        expect(ledger.findCrashingPart(2_500, isKnown)).toEqual({ id: "bad", upstreams: 3, requests: 3 });
    });

    it("does not blame the parts of two requests that met several crashes by their retries", () => {
        ["u1", "u2", "u3", "u4"].forEach((upstream, index) =>
            ledger.record(upstream, [createRequest(`r${index % 2}`, ["part"])], index * 1_000)
        );
        expect(findAt(10_000)).toBeUndefined();
    });

    it("does not blame parts for upstreams that crash at the same moment", () => {
        ["u1", "u2", "u3", "u4", "u5", "u6"].forEach((upstream, index) =>
            ledger.record(upstream, [createRequest(`r${index}`, ["part"])], index * 100)
        );
        expect(findAt(10_000)).toBeUndefined();
    });

    it("does not count an upstream that answers a request sent after others broke off, however soon", () => {
        ledger.record("u1", [createRequest("r1", ["bad"])], 1_000);
        expect(ledger.observeData("u1", 999, 1_010)).toBe(false);
        expect(ledger.isAlive("u1")).toBe(false);
        expect(ledger.observeData("u1", 1_001, 1_010)).toBe(true);
        expect(ledger.isAlive("u1")).toBe(true);
    });

    it("does not count upstreams that sent data after requests broke off", () => {
        ["u1", "u2", "u3"].forEach((upstream, index) => {
            ledger.record(upstream, [createRequest(`r${index}`, ["part"])], index * 1_000);
            expect(ledger.observeData(upstream, -Infinity, index * 1_000 + 100)).toBe(false);
            expect(ledger.observeData(upstream, -Infinity, index * 1_000 + 400)).toBe(true);
            expect(ledger.observeData(upstream, -Infinity, index * 1_000 + 500)).toBe(false);
        });
        expect(findAt(10_000)).toBeUndefined();
    });

    it("does not blame a part with which an answer went well since, until upstreams crash again", () => {
        ["u1", "u2", "u3"].forEach((upstream, index) =>
            ledger.record(upstream, [createRequest(`r${index}`, ["part"])], index * 1_000)
        );
        expect(ledger.markSound("part")).toBe(true);
        expect(ledger.markSound("part")).toBe(false);
        expect(findAt(10_000)).toBeUndefined();
        ledger.record("u4", [createRequest("r4", ["part"])], 3_000);
        ledger.record("u5", [createRequest("r5", ["part"])], 4_000);
        expect(findAt(10_000)).toBeUndefined();
        ledger.record("u6", [createRequest("r6", ["part"])], 5_000);
        expect(findAt(10_000)).toBe("part");
    });

    it("blames the more specific of two parts where each request with one has the other too", () => {
        ["u1", "u2", "u3", "u4"].forEach((upstream, index) =>
            ledger.record(
                upstream,
                [
                    createRequest(`r${index}`, ["all", "bad"]),
                    createRequest(`s${index}`, ["all", `p${index}`]),
                ],
                index * 1_000,
            )
        );
        expect(findAt(10_000)).toBe("bad");
    });

    it("needs no further cause for crashes under a part that is known", () => {
        ["u1", "u2", "u3", "u4"].forEach((upstream, index) =>
            ledger.record(
                upstream,
                [createRequest(`r${index}`, ["bad"]), createRequest(`s${index}`, ["sound"])],
                index * 1_000,
            )
        );
        expect(ledger.findCrashingPart(10_000, id => id === "bad")).toBeUndefined();
    });

    it("does not blame a part while another one was under way at more crashes, though its answers had not begun", () => {
        ["u1", "u2", "u3", "u4"].forEach((upstream, index) => {
            const beside = index === 0 ? [] : [createRequest(`s${index}`, ["sound"])];
            const crashing = createRequest(`r${index}`, ["bad"], false);
            ledger.record(upstream, [crashing, ...beside], index * 1_000);
        });
        expect(findAt(10_000)).toBeUndefined();
        ledger.record("u5", [createRequest("r5", ["bad"], false)], 4_000);
        expect(findAt(10_000)).toBe("bad");
    });

    it("suspects the parts under which upstreams crashed at two moments, until they are cleared or that is long ago", () => {
        ["u1", "u2"].forEach((upstream, index) =>
            ledger.record(
                upstream,
                [createRequest("r1", ["a", "b"]), createRequest("r2", ["waiting"], false)],
                index * 1_000,
            )
        );
        ledger.record("u2", [createRequest("r3", ["c"])], 1_000);
        expect(ledger.listSuspects(1_000, isKnown)).toEqual(["a", "b"]);
        expect(ledger.listSuspects(1_000, id => id === "c")).toEqual([]);
        ledger.markSound("a");
        expect(ledger.listSuspects(1_000, isKnown)).toEqual(["b"]);
        expect(ledger.listSuspects(31_000, isKnown)).toEqual([]);
    });

    it("finds a part whose answers never reached a node, after five crashes", () => {
        for (let index = 0; index < 5; index += 1) {
            expect(findAt(10_000 + index * 1_000)).toBeUndefined();
            ledger.record(`u${index}`, [createRequest(`r${index}`, ["bad"], false)], 10_000 + index * 1_000);
        }
        expect(findAt(20_000)).toBe("bad");
    });

    it("finds the cause of five crashes among any sound parts whose answers go well in between", () => {
        const soundParts = fc.uniqueArray(fc.nat({ max: 20 }).map(id => `sound${id}`), { minLength: 1 });
        const crashes = fc.array(fc.array(soundParts, { maxLength: 8 }), { minLength: 5, maxLength: 8 });
        fc.assert(fc.property(crashes, fc.integer({ min: 200, max: 3_000 }), (sound, gapMs) => {
            const tried = new CrashLedger();
            sound.forEach((requests, crash) => {
                const atMs = crash * gapMs;
                tried.record(`u${crash}`, [createRequest(`bad${crash}`, ["shared", "bad"])], atMs);
                tried.record(
                    `u${crash}`,
                    requests.map((parts, index) => createRequest(`r${crash}-${index}`, ["shared", ...parts])),
                    atMs,
                );
                ["shared", ...requests.flat()].forEach(part => tried.markSound(part));
            });
            expect(tried.findCrashingPart(sound.length * gapMs + 2_500, isKnown)?.id).toBe("bad");
        }));
    });
});
