import { formatStartKey } from "./formatStartKey";

describe("formatStartKey", () => {
    it("differs by id and start, and takes upstreams without a known start", () => {
        const starts = [
            { id: "a", startedAtMs: 1 },
            { id: "a", startedAtMs: 2 },
            { id: "b", startedAtMs: 1 },
            { id: "a" },
        ];
        expect(new Set(starts.map(formatStartKey)).size).toBe(4);
        expect(formatStartKey({ id: "a" })).toBe(" a");
    });
});
