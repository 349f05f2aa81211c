import { SeededRandom } from "../kernel/SeededRandom";
import { BoundedAffinityPolicy } from "./BoundedAffinityPolicy";
import type { UpstreamView } from "./types";

const createViews = (loads: readonly number[], slots = 10): UpstreamView[] =>
    loads.map((inFlight, index) => ({ id: `u${index}`, dataCentre: "a", slots, inFlight }));

describe("BoundedAffinityPolicy", () => {
    const create = (): BoundedAffinityPolicy => new BoundedAffinityPolicy({ random: new SeededRandom(3) });

    it("keeps a prefix on one upstream, the same at every node, while loads are near each other", () => {
        const views = createViews([4, 5, 4, 5]);
        const chosen = new Set(
            Array.from({ length: 20 }, () => create().choose({ affinityKey: "part" }, views)!.id),
        );
        expect(chosen.size).toBe(1);
    });

    it("spreads different prefixes", () => {
        const views = createViews([0, 0, 0, 0]);
        const policy = create();
        const chosen = new Set(
            Array.from(
                { length: 60 },
                (_unused, key) => policy.choose({ affinityKey: `p${key}` }, views)!.id,
            ),
        );
        expect(chosen.size).toBe(4);
    });

    it("moves few prefixes when an upstream goes", () => {
        const policy = create();
        const before = createViews([0, 0, 0, 0]);
        const after = before.slice(0, 3);
        const moved = Array.from({ length: 200 }, (_unused, key) => ({ affinityKey: `p${key}` }))
            .filter(request => policy.choose(request, before)!.id !== policy.choose(request, after)!.id);
        expect(moved.length).toBeLessThan(100);
    });

    it("leaves an upstream whose load is far above the mean", () => {
        const policy = create();
        const calm = createViews([4, 4, 4, 4]);
        const key = { affinityKey: "part" };
        const preferred = policy.choose(key, calm)!.id;
        const busy = calm.map(view => view.id === preferred ? { ...view, inFlight: 20 } : view);
        expect(policy.choose(key, busy)!.id).not.toBe(preferred);
    });

    it("takes the least loaded for requests without a prompt, in proportion to the slots", () => {
        const views = [...createViews([3], 6), { id: "big", dataCentre: "a", slots: 60, inFlight: 10 }];
        expect(create().choose({ affinityKey: undefined }, views)!.id).toBe("big");
        expect(create().choose({ affinityKey: undefined }, [])).toBeUndefined();
    });
});
