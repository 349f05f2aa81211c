import fc from "fast-check";
import { listAmbiguousReports } from "../../standins/platform/listAmbiguousReports";
import { listFencingBreaches } from "../../standins/platform/listFencingBreaches";
import { UsageReporterModel, type UsageReporterNode } from "../../standins/UsageReporterModel";

const leaseMs = 3_000;

const troubles = fc.record({
    refused: fc.constantFrom(0, 0, 0.3, 1),
    lostAnswer: fc.constantFrom(0, 0, 0.3, 0.8),
    lateEffect: fc.constantFrom(0, 0.3, 0.9),
    delayMs: fc.constantFrom(10, 125, 300),
});

const event = fc.oneof(
    fc.constant({ kind: "kill" } as const),
    fc.constant({ kind: "cut-store" } as const),
    fc.constant({ kind: "lose-answers" } as const),
    fc.constant({ kind: "freeze" } as const),
    fc.constant({ kind: "suspend" } as const),
    fc.constant({ kind: "heal" } as const),
    fc.record({ kind: fc.constant("trouble-store" as const), troubles }),
    fc.record({ kind: fc.constant("restore" as const), agoMs: fc.integer({ min: 250, max: 15_000 }) }),
);

type ModelEvent = typeof event extends fc.Arbitrary<infer T> ? T : never;

const actions: Readonly<Record<string, (node: UsageReporterNode) => void>> = {
    "kill": node => void node.startProcess(),
    "cut-store": node => node.storePath.isCut = true,
    "lose-answers": node => node.losesAnswers = true,
    "freeze": node => node.clock.pause(),
    "suspend": node => node.clock.pauseWithClock(),
};

const apply = (model: UsageReporterModel, target: UsageReporterNode, change: ModelEvent): void => {
    switch (change.kind) {
        case "heal":
            model.nodes.forEach(node => node.recover());
            return;
        case "trouble-store":
            target.storePath.troubles = change.troubles;
            return;
        case "restore":
            model.store.restore(change.agoMs);
            return;
        default:
            actions[change.kind](target);
    }
};

describe("usage reports that arrive at the cloud", () => {
    it("have the same counts for a window, whatever happens to the store and to the holders", async () => {
        let arrived = 0;
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(
                    fc.record({
                        event,
                        node: fc.constantFrom(0, 1, 2, 3, 3, 3),
                        waitMs: fc.integer({ min: 10, max: 5_000 }),
                    }),
                    { minLength: 1, maxLength: 16 },
                ),
                async (seed, steps) => {
                    const model = new UsageReporterModel(seed);
                    await model.start();
                    await model.world.advance(9_000);
                    for (const step of steps) {
                        apply(model, model.nodes[step.node] ?? model.findLastHolder(), step.event);
                        await model.world.advance(step.waitMs);
                    }
                    model.nodes.forEach(node => node.recover());
                    await model.world.advance(12_000);
                    await model.stop();
                    arrived += model.arrivals.length;
                    expect(listAmbiguousReports(model.arrivals)).toEqual([]);
                    expect(listFencingBreaches(model.arrivals, { leaseMs })).toEqual([]);
                },
            ),
            { seed: 44, numRuns: 120 },
        );
        expect(arrived).toBeGreaterThan(300);
    }, 60_000);
});
