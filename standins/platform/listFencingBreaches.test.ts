import type { FencedCall } from "./FencedCloudStandIn";
import { listFencingBreaches } from "./listFencingBreaches";

const createCall = (atMs: number, holder: string, fencing: number, zone?: string): FencedCall => ({
    atMs,
    holder,
    fencing,
    path: zone === undefined ? "/usage" : "/scale",
    body: { service: "llm", zone },
});

const listAll = (...calls: FencedCall[]): string[] => listFencingBreaches(calls, { leaseMs: 3_000 });

describe("listFencingBreaches", () => {
    it("accepts a change of the holder, and a return after the lease", () => {
        expect(listAll(createCall(0, "a", 1), createCall(100, "b", 2), createCall(3_200, "a", 3))).toEqual(
            [],
        );
    });

    it("judges each duty and subject by itself", () => {
        expect(listAll(createCall(0, "a", 5), createCall(1, "b", 1, "x"), createCall(2, "c", 2, "y")))
            .toEqual(
                [],
            );
    });

    it("rejects a number lower than one that was seen", () => {
        expect(listAll(createCall(0, "a", 2), createCall(5_000, "b", 1))).toEqual([
            "5000 ms, /usage usage: b sent 1 after 2 had been seen",
        ]);
    });

    it("rejects no number", () => {
        expect(listAll(createCall(0, "a", NaN))).toHaveLength(1);
    });

    it("rejects a number of two holders", () => {
        expect(listAll(createCall(0, "a", 2, "x"), createCall(5_000, "b", 2, "x"))).toEqual([
            "5000 ms, /scale llm x: b sent 2, a number of a",
        ]);
    });

    it("rejects a holder that acts before and after another within the lease", () => {
        expect(listAll(createCall(0, "a", 1), createCall(1_000, "b", 2), createCall(2_000, "a", 3))).toEqual([
            "2000 ms, /usage usage: a acted before and after another holder within 3000 ms",
        ]);
    });
});
