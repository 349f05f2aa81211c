import { type AttemptHistory, decideRetry } from "./decideRetry";

const createHistory = (fields: Partial<AttemptHistory>): AttemptHistory => ({
    retryRule: "once",
    runs: 1,
    maxRuns: 2,
    sends: 1,
    takeRetry: () => true,
    mayWait: false,
    ...fields,
});

describe("decideRetry", () => {
    it("stops if a request that may run only once may have run", () => {
        expect(decideRetry({ isSent: true, isNotRun: false }, createHistory({}))).toBe("stop");
    });

    it("retries within the budget if the upstream states that it did not run the request", () => {
        const failed = { isSent: true, isNotRun: true };
        expect(decideRetry(failed, createHistory({ runs: 0 }))).toBe("another-upstream");
        expect(decideRetry(failed, createHistory({ runs: 0, takeRetry: () => false }))).toBe("stop");
    });

    it("retries without using the budget if nothing was sent", () => {
        const takeRetry = jest.fn(() => false);
        const failed = { isSent: false, isNotRun: true };
        expect(decideRetry(failed, createHistory({ runs: 0, takeRetry }))).toBe(
            "another-upstream",
        );
        expect(takeRetry).not.toHaveBeenCalled();
    });

    it("retries repeatable and resumable requests up to the maximum number of runs", () => {
        const failed = { isSent: true, isNotRun: false };
        expect(decideRetry(failed, createHistory({ retryRule: "repeatable" }))).toBe("another-upstream");
        expect(decideRetry(failed, createHistory({ retryRule: "resumable", runs: 2 }))).toBe("stop");
    });

    it("waits for a retry that is allowed but not left, where the request may wait", () => {
        const history = createHistory({ retryRule: "resumable", takeRetry: () => false, mayWait: true });
        expect(decideRetry({ isSent: true, isNotRun: true }, history)).toBe("wait-for-retry");
        expect(decideRetry({ isSent: true, isNotRun: false }, history)).toBe("wait-for-retry");
        expect(decideRetry({ isSent: true, isNotRun: false }, { ...history, runs: 2 })).toBe("stop");
    });

    it("stops after five attempts", () => {
        expect(decideRetry({ isSent: false, isNotRun: true }, createHistory({ runs: 0, sends: 5 }))).toBe(
            "stop",
        );
    });
});
