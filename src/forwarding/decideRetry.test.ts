import { type AttemptHistory, decideRetry } from "./decideRetry";

const createHistory = (fields: Partial<AttemptHistory>): AttemptHistory => ({
    retryRule: "once",
    runs: 1,
    maxRuns: 2,
    sends: 1,
    takeRetry: () => true,
    ...fields,
});

describe("decideNextSend", () => {
    it("never repeats what may not be repeated and may have run", () => {
        expect(decideRetry({ isSent: true, isNotRun: false }, createHistory({}))).toBe("stop");
    });

    it("goes on where the upstream says that it did not run the request, within the budget", () => {
        const failed = { isSent: true, isNotRun: true };
        expect(decideRetry(failed, createHistory({ runs: 0 }))).toBe("another-upstream");
        expect(decideRetry(failed, createHistory({ runs: 0, takeRetry: () => false }))).toBe("stop");
    });

    it("goes on without using the budget where nothing was sent", () => {
        const takeRepeat = jest.fn(() => false);
        const failed = { isSent: false, isNotRun: true };
        expect(decideRetry(failed, createHistory({ runs: 0, takeRetry: takeRepeat }))).toBe(
            "another-upstream",
        );
        expect(takeRepeat).not.toHaveBeenCalled();
    });

    it("repeats what may be repeated up to the most runs", () => {
        const failed = { isSent: true, isNotRun: false };
        expect(decideRetry(failed, createHistory({ retryRule: "repeatable" }))).toBe("another-upstream");
        expect(decideRetry(failed, createHistory({ retryRule: "resumable", runs: 2 }))).toBe("stop");
    });

    it("gives up after many sendings", () => {
        expect(decideRetry({ isSent: false, isNotRun: true }, createHistory({ runs: 0, sends: 5 }))).toBe(
            "stop",
        );
    });
});
