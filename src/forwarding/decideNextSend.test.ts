import { decideNextSend, type SendHistory } from "./decideNextSend";

const createHistory = (fields: Partial<SendHistory>): SendHistory => ({
    repeat: "once",
    runs: 1,
    maxRuns: 2,
    sends: 1,
    takeRepeat: () => true,
    ...fields,
});

describe("decideNextSend", () => {
    it("never repeats what may not be repeated and may have run", () => {
        expect(decideNextSend({ isSent: true, isNotRun: false }, createHistory({}))).toBe("stop");
    });

    it("goes on where the upstream says that it did not run the request, within the budget", () => {
        const failed = { isSent: true, isNotRun: true };
        expect(decideNextSend(failed, createHistory({ runs: 0 }))).toBe("another-upstream");
        expect(decideNextSend(failed, createHistory({ runs: 0, takeRepeat: () => false }))).toBe("stop");
    });

    it("goes on without using the budget where nothing was sent", () => {
        const takeRepeat = jest.fn(() => false);
        const failed = { isSent: false, isNotRun: true };
        expect(decideNextSend(failed, createHistory({ runs: 0, takeRepeat }))).toBe("another-upstream");
        expect(takeRepeat).not.toHaveBeenCalled();
    });

    it("repeats what may be repeated up to the most runs", () => {
        const failed = { isSent: true, isNotRun: false };
        expect(decideNextSend(failed, createHistory({ repeat: "repeatable" }))).toBe("another-upstream");
        expect(decideNextSend(failed, createHistory({ repeat: "resumable", runs: 2 }))).toBe("stop");
    });

    it("gives up after many sendings", () => {
        expect(decideNextSend({ isSent: false, isNotRun: true }, createHistory({ runs: 0, sends: 5 }))).toBe(
            "stop",
        );
    });
});
