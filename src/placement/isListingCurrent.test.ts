import { isListingCurrent } from "./isListingCurrent";

describe("isListingCurrent", () => {
    it.each([
        ["confirmed lately", 2_000, Infinity, true],
        ["not confirmed for long", 2_001, Infinity, false],
        ["never confirmed", Infinity, Infinity, false],
        ["confirmed right after a pause", 0, 2_500, false],
        ["confirmed some time after a pause", 0, 2_501, true],
    ])("tells whether records can be relied on: %s", (_name, ageMs, sinceResumedMs, expected) => {
        const feed = { readAgeMs: () => ageMs, readSinceResumedMs: () => sinceResumedMs };
        expect(isListingCurrent(feed)).toBe(expected);
    });
});
