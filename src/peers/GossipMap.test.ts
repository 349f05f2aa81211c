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
