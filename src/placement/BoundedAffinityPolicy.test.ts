import { SeededRandom } from "../kernel/SeededRandom";
import { BoundedAffinityPolicy } from "./BoundedAffinityPolicy";
import type { UpstreamView } from "./types";

const createViews = (loads: readonly number[], slots = 10): UpstreamView[] =>
    loads.map((inFlight, index) => ({ id: `u${index}`, dataCentre: "a", slots, inFlight }));

describe("BoundedAffinityPolicy", () => {
    const create = (): BoundedAffinityPolicy => new BoundedAffinityPolicy({ random: new SeededRandom(3) });

    it("places a prefix on the same upstream at every node while the loads are near the mean", () => {
        const views = createViews([4, 5, 4, 5]);
        const chosen = new Set(
            Array.from(
                { length: 20 },
                () => create().choose({ service: "s", affinityKey: "part" }, views)!.id,
            ),
        );
        expect(chosen.size).toBe(1);
    });

    it("distributes different prefixes over all upstreams", () => {
        const views = createViews([0, 0, 0, 0]);
        const policy = create();
        const chosen = new Set(
            Array.from(
                { length: 60 },
                (_unused, key) => policy.choose({ service: "s", affinityKey: `p${key}` }, views)!.id,
            ),
        );
        expect(chosen.size).toBe(4);
    });

    it("moves less than half of the prefixes when one of four upstreams is removed", () => {
        const policy = create();
        const before = createViews([0, 0, 0, 0]);
        const after = before.slice(0, 3);
        const moved = Array.from(
            { length: 200 },
            (_unused, key) => ({ service: "s", affinityKey: `p${key}` }),
        )
            .filter(request => policy.choose(request, before)!.id !== policy.choose(request, after)!.id);
        expect(moved.length).toBeLessThan(100);
    });

    it("avoids the preferred upstream if its load is far above the mean", () => {
        const policy = create();
        const calm = createViews([4, 4, 4, 4]);
        const key = { service: "s", affinityKey: "part" };
        const preferred = policy.choose(key, calm)!.id;
        const busy = calm.map(view => view.id === preferred ? { ...view, inFlight: 20 } : view);
        expect(policy.choose(key, busy)!.id).not.toBe(preferred);
    });

    it("chooses the upstream with the least load per slot for requests without a prompt", () => {
        const views = [...createViews([3], 6), { id: "big", dataCentre: "a", slots: 60, inFlight: 10 }];
        expect(create().choose({ service: "s", affinityKey: undefined }, views)!.id).toBe("big");
        expect(create().choose({ service: "s", affinityKey: undefined }, [])).toBeUndefined();
    });
});
