import { AnswerTimeout } from "./AnswerTimeout";

const timeoutMs = 700;

describe("AnswerTimeout", () => {
    beforeEach(() => void jest.useFakeTimers());
    afterEach(() => void jest.useRealTimers());

    it("covers the whole exchange unless progress extends it", () => {
        const timeout = new AnswerTimeout({ timeoutMs });
        jest.advanceTimersByTime(timeoutMs - 1);
        timeout.recordProgress();
        expect(timeout.signal.aborted).toBe(false);
        jest.advanceTimersByTime(1);
        expect(timeout.signal.aborted).toBe(true);
    });

    it("runs anew from each byte, up to a total", () => {
        const timeout = new AnswerTimeout({ timeoutMs, progressMs: timeoutMs });
        for (let index = 0; index < 15; index += 1) {
            jest.advanceTimersByTime(timeoutMs - 1);
            expect(timeout.signal.aborted).toBe(false);
            timeout.recordProgress();
        }
        jest.advanceTimersByTime(timeoutMs - 1);
        expect(timeout.signal.aborted).toBe(true);
    });

    it("aborts an answer that stops midway", () => {
        const timeout = new AnswerTimeout({ timeoutMs: 5_000, progressMs: timeoutMs });
        timeout.recordProgress();
        jest.advanceTimersByTime(timeoutMs);
        expect(timeout.signal.aborted).toBe(true);
    });

    it("aborts nothing once it was cleared", () => {
        const timeout = new AnswerTimeout({ timeoutMs });
        timeout.clear();
        jest.advanceTimersByTime(60_000);
        expect(timeout.signal.aborted).toBe(false);
    });
});
