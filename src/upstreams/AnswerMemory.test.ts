import { AnswerMemory } from "./AnswerMemory";

describe("AnswerMemory", () => {
    it("grants memory up to its limit over all requests, and again after a release", () => {
        const memory = new AnswerMemory(10);
        const first = memory.hold();
        const second = memory.hold();
        expect(first.take(6)).toBe(true);
        expect(second.take(5)).toBe(false);
        expect(second.take(4)).toBe(true);
        expect(memory.usedBytes).toBe(10);
        first.release();
        first.release();
        expect(memory.usedBytes).toBe(4);
        expect(second.take(6)).toBe(true);
    });
});
