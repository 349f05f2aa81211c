import fc from "fast-check";
import { FakeClock } from "../kernel/FakeClock";
import { HybridClock } from "../telemetry/HybridClock";
import { GossipMap } from "./GossipMap";

const createMap = (nodeId: string): GossipMap =>
    new GossipMap({ nodeId, hybridClock: new HybridClock(new FakeClock()) });

describe("GossipMap", () => {
    it("converges to equal maps and digests regardless of the order in which entries arrive", () => {
        const write = fc.record({
            node: fc.nat(2),
            key: fc.constantFrom("x", "y", "z"),
            value: fc.nat(9),
            sync: fc.nat(5),
        });
        fc.assert(
            fc.property(fc.array(write, { maxLength: 40 }), writes => {
                const maps = ["a", "b", "c"].map(createMap);
                for (const { node, key, value, sync } of writes) {
                    maps[node].set(key, value);
                    if (sync < 3) {
                        maps[sync].merge(maps[node].listEntries().reverse());
                    }
                }
                for (let round = 0; round < 2; round += 1) {
                    maps.forEach(map => maps.forEach(other => map.merge(other.listEntries())));
                }
                const contents = maps.map(map => ["x", "y", "z"].map(key => map.get(key)));
                expect(contents[1]).toEqual(contents[0]);
                expect(contents[2]).toEqual(contents[0]);
                expect(new Set(maps.map(map => map.digest)).size).toBe(1);
            }),
            { seed: 8 },
        );
    });

    it("lists what another map lacks, which brings that one to the same state as all entries", () => {
        const [a, b] = ["a", "b"].map(createMap);
        a.set("same", 1);
        b.merge(a.listEntries());
        a.set("later", 1);
        b.set("later", 2);
        a.set("only", 3);
        b.set("changed", 4);
        a.merge(b.listEntries().filter(entry => entry.key === "changed"));
        a.set("changed", 5);
        const newer = a.listNewer(b.listEntries());
        expect(newer.map(entry => entry.key).sort()).toEqual(["changed", "only"]);
        b.merge(newer);
        expect(["same", "later", "only", "changed"].map(key => b.get(key))).toEqual([1, 2, 3, 5]);
        expect(b.listNewer(a.listEntries()).map(entry => entry.key)).toEqual(["later"]);
    });

    it("keeps the later of two writes", () => {
        const [a, b] = ["a", "b"].map(createMap);
        a.set("k", 1);
        b.merge(a.listEntries());
        b.set("k", 2);
        a.merge(b.listEntries());
        expect(a.get("k")).toBe(2);
        expect(b.merge([{ key: "k", time: { wallMs: 0, counter: 0 }, writer: "z", value: 9 }])).toEqual([]);
    });
});
