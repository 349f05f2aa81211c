import * as fc from "fast-check";
import { computeRateShare } from "./computeRateShare";

const windowS = 4;

describe("computeRateShare", () => {
    it("splits a limit evenly among few nodes", () => {
        expect(computeRateShare({ limitPerS: 4, rank: 7, liveNodes: 8, presumedNodes: 8 })).toBe(0.5);
    });

    it("leaves part of it to nodes that may only be out of reach", () => {
        expect(computeRateShare({ limitPerS: 4, rank: 0, liveNodes: 4, presumedNodes: 8 })).toBe(0.5);
    });

    it("keeps all nodes within one and a half times any limit and 5 requests in 4 s, and uses some of it", () => {
        const limits = fc.double({ min: 0, max: 1_000, noNaN: true });
        fc.assert(fc.property(limits, fc.integer({ min: 1, max: 400 }), (limitPerS, nodes) => {
            const shares = Array.from(
                { length: nodes },
                (_unused, rank) =>
                    computeRateShare({ limitPerS, rank, liveNodes: nodes, presumedNodes: nodes }),
            );
            const users = shares.filter(share => share > 0);
            const most = users.length + users.reduce((sum, share) => sum + share, 0) * windowS;
            expect(most).toBeLessThanOrEqual(1.5 * windowS * limitPerS + 5);
            expect(users.reduce((sum, share) => sum + share, 0)).toBeGreaterThan(limitPerS * 0.999);
        }));
    });
});
