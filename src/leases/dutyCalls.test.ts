import fc from "fast-check";
import { LeaseholderModel, type ModelNode } from "../../standins/LeaseholderModel";
import type { StoreTroubles } from "../../standins/TroubledStorePath";
import { listFencingBreaches } from "../../standins/platform/listFencingBreaches";

const leaseMs = 3_000;
const longDelayMs = 8_000; // retransmissions of a lossy path

const lastHolder = 3; // in place of a node's index
const nodeIndex = fc.constantFrom(0, 1, 2, lastHolder, lastHolder, lastHolder);
const onNode = <K extends string>(kind: K): fc.Arbitrary<{ kind: K; node: number; }> =>
    fc.record({ kind: fc.constant(kind), node: nodeIndex });

const troubles = fc.record({
    refused: fc.constantFrom(0, 0, 0.3, 1),
    lostAnswer: fc.constantFrom(0, 0, 0.3),
    lateEffect: fc.constantFrom(0, 0, 0.3),
    delayMs: fc.constantFrom(10, 125, 300),
});

const oddRows: readonly unknown[] = [
    undefined,
    null,
    "x",
    { fencing: -1 },
    { fencing: "7" },
    { fencing: 2 ** 50 },
    { fencing: 1e300 },
];

const event = fc.oneof(
    onNode("suspend"),
    onNode("freeze"),
    onNode("hold-cloud"),
    onNode("cut-store"),
    onNode("cut-off"),
    onNode("restart"),
    onNode("kill"),
    onNode("heal"),
    onNode("delay-cloud"),
    onNode("delay-cloud-and-cut-store"),
    fc.record({
        kind: fc.constant("step"),
        node: nodeIndex,
        byMs: fc.constantFrom(-20_000, -5_000, -1_000, 1_000, 5_000),
    }),
    fc.record({ kind: fc.constant("trouble-store"), node: nodeIndex, troubles }),
    fc.record({ kind: fc.constant("restore"), copiesAgo: fc.integer({ min: 1, max: 6 }) }),
    fc.record({ kind: fc.constant("odd-row"), value: fc.constantFrom(...oddRows) }),
);

type ModelEvent = {
    readonly kind: string;
    readonly node?: number;
    readonly byMs?: number;
    readonly copiesAgo?: number;
    readonly value?: unknown;
    readonly troubles?: StoreTroubles;
};

const nodeActions: Readonly<Record<string, (node: ModelNode) => void>> = {
    "suspend": node => node.clock.pauseWithClock(),
    "freeze": node => node.clock.pause(),
    "hold-cloud": node => node.holdCloud(),
    "cut-store": node => node.storePath.isCut = true,
    "cut-off": node => {
        node.storePath.isCut = true;
        node.holdCloud();
    },
    "delay-cloud": node => node.cloudDelayMs = longDelayMs,
    "delay-cloud-and-cut-store": node => {
        node.storePath.isCut = true;
        node.cloudDelayMs = longDelayMs;
    },
    "restart": node => void node.startProcess(),
    "kill": node => void node.killProcess(),
    "heal": node => node.recover(),
};

const apply = (
    model: LeaseholderModel,
    { kind, node, byMs, copiesAgo, value, troubles }: ModelEvent,
): void => {
    const target = model.nodes[node ?? 0] ?? model.findLastHolder();
    nodeActions[kind]?.(target);
    if (kind === "step") {
        target.clock.step(byMs!);
    }
    if (kind === "trouble-store") {
        target.storePath.troubles = troubles!;
    }
    if (kind === "restore") {
        model.store.restore(copiesAgo!);
    }
    if (kind === "odd-row") {
        model.store.memory.commit([{ table: "leases", key: "cloud", condition: { kind: "any" }, value }]);
    }
};

describe("calls of duties under a lease", () => {
    it(
        "arrive from one holder at a time with numbers that never fall, whatever happens to nodes, paths and clocks",
        async () => {
            let arrived = 0;
            let holders = 0;
            await fc.assert(
                fc.asyncProperty(
                    fc.integer(),
                    fc.array(fc.record({ event, waitMs: fc.integer({ min: 10, max: 4_000 }) }), {
                        minLength: 1,
                        maxLength: 16,
                    }),
                    async (seed, steps) => {
                        const model = new LeaseholderModel(seed);
                        await model.start();
                        await model.world.advance(12_000);
                        for (const step of steps) {
                            apply(model, step.event);
                            await model.world.advance(step.waitMs);
                            model.store.keepCopy();
                        }
                        model.nodes.forEach(node => node.recover());
                        await model.world.advance(20_000);
                        await model.stop();
                        arrived += model.arrivals.length;
                        holders += new Set(model.arrivals.map(({ fencing }) => fencing)).size;
                        expect(listFencingBreaches(model.arrivals, { leaseMs })).toEqual([]);
                    },
                ),
                { seed: 41, numRuns: 120 },
            );
            expect(arrived).toBeGreaterThan(1_000);
            expect(holders).toBeGreaterThan(100);
        },
        120_000,
    );

    /** Counts the calls that arrive after their time-out; expects none to break the order. */
    const countLate = async (
        stop: (former: ModelNode, model: LeaseholderModel) => void,
    ): Promise<number> => {
        const breaches: string[] = [];
        let late = 0;
        for (let seed = 1; seed <= 300; seed += 1) {
            const model = new LeaseholderModel(seed);
            await model.start();
            await model.world.advance(12_000);
            model.store.keepCopy();
            const former = model.findLastHolder();
            former.cloudDelayMs = longDelayMs;
            await model.world.advance(300 + seed % 10 * 100);
            stop(former, model);
            await model.world.advance(5_500);
            former.recover();
            await model.world.advance(6_000);
            await model.stop();
            late += model.listLate().length;
            breaches.push(
                ...listFencingBreaches(model.arrivals, { leaseMs }).map(text => `seed ${seed}: ${text}`),
            );
        }
        expect(breaches).toEqual([]);
        return late;
    };

    it.each<[string, (former: ModelNode) => void]>([
        ["was suspended", ({ clock }) => clock.pauseWithClock()],
        ["is frozen", ({ clock }) => clock.pause()],
        ["was killed", node => void node.killProcess()],
        ["lost power", node => void node.startProcess()],
        ["is cut off from the store", ({ storePath }) => storePath.isCut = true],
    ])(
        "do not arrive after those of the next holder when their sender %s, on a lossy path to a cloud that reads late",
        async (_name, stop) => {
            expect(await countLate(stop)).toBeGreaterThan(30);
        },
        120_000,
    );

    it.each<[string, (model: LeaseholderModel) => void]>([
        ["a restored store has lost its record", ({ store }) => store.restore(1)],
        ["another writer has replaced its record", ({ store }) => {
            store.memory.commit([{ table: "leases", key: "cloud", condition: { kind: "any" }, value: {} }]);
        }],
    ])(
        "do not arrive after those of the next holder when their sender was killed on a lossy path, and %s",
        async (_name, loseRecord) => {
            const kill = (node: ModelNode, model: LeaseholderModel): void => {
                void node.killProcess();
                loseRecord(model);
            };
            expect(await countLate(kill)).toBeGreaterThan(30);
        },
        120_000,
    );
});
