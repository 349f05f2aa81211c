import fc from "fast-check";
import { builds, MixedBuildsModel, type MixedBuildsNode } from "../../standins/MixedBuildsModel";
import { listFencingBreaches } from "../../standins/platform/listFencingBreaches";

const leaseMs = 3_000;

const troubles = fc.record({
    refused: fc.constantFrom(0, 0, 0.3, 1),
    lostAnswer: fc.constantFrom(0, 0, 0.3),
    lateEffect: fc.constantFrom(0, 0, 0.3),
    delayMs: fc.constantFrom(10, 125, 300),
});

const event = fc.oneof(
    fc.record({
        kind: fc.constant("restart" as const),
        build: fc.constantFrom(builds.earlier, builds.present),
    }),
    fc.constant({ kind: "freeze" } as const),
    fc.constant({ kind: "suspend" } as const),
    fc.constant({ kind: "cut-store" } as const),
    fc.constant({ kind: "heal" } as const),
    fc.record({ kind: fc.constant("trouble-store" as const), troubles }),
    fc.record({ kind: fc.constant("restore" as const), copiesAgo: fc.integer({ min: 1, max: 6 }) }),
);

type ModelEvent = typeof event extends fc.Arbitrary<infer T> ? T : never;

/** Applies an event. Suspensions of the earlier build are left out, as it does not notice them. */
const apply = (model: MixedBuildsModel, target: MixedBuildsNode, change: ModelEvent): void => {
    switch (change.kind) {
        case "restart":
            void target.startProcess(change.build);
            return;
        case "freeze":
            target.clock.pause();
            return;
        case "suspend":
            if (target.build === builds.present) {
                target.clock.pauseWithClock();
            }
            return;
        case "cut-store":
            target.storePath.isCut = true;
            return;
        case "heal":
            target.recover();
            return;
        case "trouble-store":
            target.storePath.troubles = change.troubles;
            return;
        case "restore":
            model.restore(change.copiesAgo);
    }
};

describe("holders of an earlier and of the present build", () => {
    it(
        "act one at a time with numbers that never fall, while nodes are replaced by the other build",
        async () => {
            const takeovers = new Map<string, number>();
            await fc.assert(
                fc.asyncProperty(
                    fc.integer(),
                    fc.array(
                        fc.record({
                            event,
                            node: fc.constantFrom(0, 1, 2, 3, 3, 3),
                            waitMs: fc.integer({ min: 10, max: 6_000 }),
                        }),
                        { minLength: 1, maxLength: 16 },
                    ),
                    async (seed, steps) => {
                        const model = new MixedBuildsModel(seed);
                        await model.start();
                        await model.world.advance(6_000);
                        for (const step of steps) {
                            apply(model, model.nodes[step.node] ?? model.findLastHolder(), step.event);
                            await model.world.advance(step.waitMs);
                            model.keepCopy();
                        }
                        model.nodes.forEach(node => node.recover());
                        await model.world.advance(10_000);
                        await model.stop();
                        model.takeovers.forEach((count, name) =>
                            takeovers.set(name, (takeovers.get(name) ?? 0) + count)
                        );
                        expect(listFencingBreaches(model.arrivals, { leaseMs })).toEqual([]);
                    },
                ),
                { seed: 44, numRuns: 120 },
            );
            expect(takeovers.get("earlier to present")).toBeGreaterThan(20);
            expect(takeovers.get("present to earlier")).toBeGreaterThan(20);
        },
        600_000,
    );
});
