import { resultCodes } from "../results/resultCodes";
import { createFinalFailure, type FinalFailureInput } from "./createFinalFailure";

const failed = { kind: "failed", isSent: true, isNotRun: true, message: "refused" } as const;
const interrupted = { kind: "interrupted", by: "timeout" } as const;
const stopped = { kind: "interrupted", by: "stopping" } as const;

const createInput = (fields: Partial<FinalFailureInput> = {}): FinalFailureInput => ({
    result: failed,
    runs: 0,
    binding: { isGone: () => false, softwareVersion: "v1" },
    isAllowedByStop: true,
    readQuarantinedMs: () => undefined,
    readRefusalMs: () => undefined,
    ...fields,
});

const readCode = (fields: Partial<FinalFailureInput>): unknown =>
    createFinalFailure(createInput(fields)).failure.resultCode;

describe("createFinalFailure", () => {
    it("says that the request has not run only where no attempt may have run", () => {
        expect(readCode({})).toBe(resultCodes.noRunner);
        expect(readCode({ result: interrupted })).toBe(resultCodes.deadlineUnreachable);
        expect(readCode({ runs: 1 })).toBe(resultCodes.upstreamFailed);
        expect(readCode({ runs: 1, result: interrupted })).toBe(resultCodes.deadlinePassed);
        expect(readCode({ runs: 1, readQuarantinedMs: () => 5 })).toBe(resultCodes.upstreamFailed);
    });

    it("names the stop of the node, and says that the request has not run only where that is so", () => {
        expect(readCode({ result: stopped })).toBe(resultCodes.nodeLeaving);
        expect(readCode({ isAllowedByStop: false })).toBe(resultCodes.nodeLeaving);
        expect(readCode({ runs: 1, result: stopped })).toBe(resultCodes.stoppedUnanswered);
        expect(readCode({ runs: 1, isAllowedByStop: false })).toBe(resultCodes.upstreamFailed);
    });

    it("names a lost version before a quarantined part, and that before upstreams that refuse", () => {
        const binding = { isGone: () => true, softwareVersion: "v1" };
        const reads = { readQuarantinedMs: () => 5, readRefusalMs: () => 7 };
        expect(readCode({ binding, ...reads })).toBe(resultCodes.streamOriginLost);
        expect(readCode(reads)).toBe(resultCodes.promptQuarantined);
    });

    it("says when to come back", () => {
        expect(createFinalFailure(createInput()).failure.retryAfterMs).toBe(300);
        expect(createFinalFailure(createInput({ readRefusalMs: () => 7 })).failure.retryAfterMs).toBe(7);
        expect(createFinalFailure(createInput({ readQuarantinedMs: () => 5 })).failure.retryAfterMs).toBe(5);
        expect(createFinalFailure(createInput({ runs: 1 })).failure.retryAfterMs).toBeUndefined();
    });
});
