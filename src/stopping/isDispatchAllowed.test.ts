import { isDispatchAllowed, type IsDispatchAllowedOptions } from "./isDispatchAllowed";

const stop = { acceptEndMs: 100, answerEndMs: 200, closeMs: 250 };

const isAllowed = (options: Partial<IsDispatchAllowedOptions>): boolean =>
    isDispatchAllowed({ nowMs: 0, deadlineMs: 1_000, hasBegun: false, stop, ...options });

describe("isDispatchAllowed", () => {
    it("allows everything where no stop is planned, and at the start of the grace period", () => {
        expect(isAllowed({ nowMs: 999, stop: undefined })).toBe(true);
        expect(isAllowed({ nowMs: 99 })).toBe(true);
    });

    it("allows later what its deadline ends before the last answers", () => {
        expect(isAllowed({ nowMs: 100 })).toBe(false);
        expect(isAllowed({ nowMs: 100, deadlineMs: 201 })).toBe(false);
        expect(isAllowed({ nowMs: 100, deadlineMs: 200 })).toBe(true);
    });

    it("allows a stream that has begun to go on until the last answers", () => {
        expect(isAllowed({ nowMs: 199, hasBegun: true })).toBe(true);
        expect(isAllowed({ nowMs: 200, hasBegun: true })).toBe(false);
    });
});
