import fc from "fast-check";
import { planReclaim } from "./planReclaim";

describe("planReclaim", () => {
    it("finishes short streams, moves the longest contexts and resumes the rest elsewhere", () => {
        const planned = planReclaim({
            streams: [
                { requestId: "short", contextTokens: 500, remainingMs: 100 },
                { requestId: "large", contextTokens: 4_000, remainingMs: 60_000 },
                { requestId: "small", contextTokens: 10, remainingMs: 60_000 },
            ],
            noticeMs: 500,
            bytesPerToken: 1_000,
            bytesPerMs: 11_000,
        });
        expect(planned).toEqual([
            { requestId: "short", choice: "finish" },
            { requestId: "large", choice: "move-cache" },
            { requestId: "small", choice: "resume-elsewhere" },
        ]);
    });

    it("resumes all streams elsewhere if the notice period is unknown", () => {
        const streams = [{ requestId: "a", contextTokens: 10, remainingMs: 10 }];
        expect(planReclaim({ streams, noticeMs: undefined, bytesPerToken: 1, bytesPerMs: 1 })).toEqual([
            { requestId: "a", choice: "resume-elsewhere" },
        ]);
    });

    it("plans each stream once, and only moves that fit into the notice period", () => {
        const stream = fc.record({
            requestId: fc.uuid(),
            contextTokens: fc.integer({ min: 1, max: 10_000 }),
            remainingMs: fc.integer({ min: 1, max: 60_000 }),
        });
        fc.assert(
            fc.property(
                fc.uniqueArray(stream, { selector: item => item.requestId }),
                fc.nat(30_000),
                (streams, noticeMs) => {
                    const planned = planReclaim({ streams, noticeMs, bytesPerToken: 100, bytesPerMs: 1_000 });
                    expect(planned.map(item => item.requestId).sort()).toEqual(
                        streams.map(item => item.requestId).sort(),
                    );
                    const moved = planned.filter(item => item.choice === "move-cache")
                        .map(item => streams.find(candidate => candidate.requestId === item.requestId)!);
                    const usedMs = moved.reduce((sum, item) => sum + 20 + item.contextTokens / 10, 0);
                    expect(usedMs).toBeLessThanOrEqual(noticeMs * 0.8 + 0.001);
                },
            ),
            { seed: 11 },
        );
    });
});
