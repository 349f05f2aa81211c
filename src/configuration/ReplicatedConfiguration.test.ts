import fc from "fast-check";
import { FaultyTableService } from "../../standins/FaultyTableService";
import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import type { Member } from "../membership/types";
import type { Heartbeat } from "../peers/peerMessageSchema";
import { PeerError } from "../peers/PeerError";
import type { PeerHandler } from "../peers/PeerMessageRouter";
import { StoreError } from "../platform/StoreError";
import { EventLog } from "../telemetry/EventLog";
import { Invariants } from "../telemetry/Invariants";
import { ReplicatedConfiguration } from "./ReplicatedConfiguration";
import { ConfigurationStore } from "./ConfigurationStore";

interface TestCluster {
    readonly clock: FakeClock;
    readonly tables: FaultyTableService;
    readonly nodes: ReplicatedConfiguration[];
    readonly broken: string[];
    /** Nodes cut off from the store and from the other members. */
    readonly isolated: Set<string>;
    heartbeat(): void;
    stop(): Promise<void>;
}

const heartbeatMs = 200;
const nodeIds = ["a", "b", "c", "d"];

const createDocument = (wholeMs: number): unknown => ({
    classes: [{ name: "c", durability: "none", latency: { firstTokenMs: 1, betweenTokensMs: 1, wholeMs } }],
    services: [{ name: "s", kind: "model", checksFencing: true, defaultClass: "c" }],
    clientAccounts: [],
});

const createCluster = (seed: number): TestCluster => {
    const clock = new FakeClock();
    const random = new SeededRandom(seed);
    const tables = new FaultyTableService({
        clock,
        random,
        faults: { outage: 0, lostAnswer: 0, lateEffect: 0 },
    });
    const handlers = new Map<string, Map<string, PeerHandler>>();
    const listeners = new Map<string, ((nodeId: string, heartbeat: Heartbeat) => void)[]>();
    const broken: string[] = [];
    const isolated = new Set<string>();
    const isDisconnected = (from: string, to: string): boolean => isolated.has(from) || isolated.has(to);
    const members = nodeIds.map(nodeId => ({ nodeId, state: "live" }) as Member);
    const nodes = nodeIds.map(nodeId => {
        const own = new Map<string, PeerHandler>();
        handlers.set(nodeId, own);
        listeners.set(nodeId, []);
        const events = new EventLog({ node: nodeId, clock });
        const guarded = {
            transact: (operations: Parameters<FaultyTableService["transact"]>[0]) =>
                isolated.has(nodeId) ? Promise.reject(new Error("cut")) : tables.transact(operations),
            read: (addresses: Parameters<FaultyTableService["read"]>[0]) =>
                isolated.has(nodeId) ? Promise.reject(new Error("cut")) : tables.read(addresses),
            list: tables.list.bind(tables),
        };
        return new ReplicatedConfiguration({
            nodeId,
            clock,
            events,
            invariants: new Invariants({ events, onBroken: name => broken.push(name) }),
            store: new ConfigurationStore({ tables: guarded, clock }),
            membership: { listLive: () => members },
            network: {
                linkedNodeIds: nodeIds.filter(other => other !== nodeId),
                registerHandler: (method, handler) => void own.set(method, handler),
                onHeartbeat: listener => void listeners.get(nodeId)!.push(listener),
                call: async (to, method, payload) => {
                    await clock.sleep(random.drawInt(5));
                    if (isDisconnected(nodeId, to)) {
                        throw new PeerError("the link was lost", "unreachable");
                    }
                    return handlers.get(to)!.get(method)!(payload, nodeId);
                },
            },
            pollMs: 1_000,
            isolationMs: 3_000,
        });
    });
    const heartbeat = (): void => {
        nodeIds.forEach((from, index) =>
            nodeIds.filter(to => to !== from && !isDisconnected(from, to)).forEach(to =>
                listeners.get(to)!.forEach(listener =>
                    listener(from, {
                        kind: "heartbeat",
                        time: { wallMs: 0, counter: 0 },
                        revision: nodes[index].revision,
                        digest: 0,
                    })
                )
            )
        );
    };
    return {
        clock,
        tables,
        nodes,
        broken,
        isolated,
        heartbeat,
        stop: async () => {
            await Promise.all(nodes.map(node => node.stop()));
        },
    };
};

const startCluster = async (world: TestCluster): Promise<void> => {
    const started = Promise.all(world.nodes.map(node => node.start()));
    await world.clock.advance(100);
    await started;
};

/** Advances the clock and delivers heartbeats meanwhile. */
const advanceWithHeartbeats = async (world: TestCluster, durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += heartbeatMs) {
        world.heartbeat();
        await world.clock.advance(heartbeatMs);
    }
};

const applyNow = async (
    world: TestCluster,
    node: number,
    expectRevision: number,
    changeId: string,
): Promise<{ revision?: number; inForce?: readonly string[]; refused?: string; }> => {
    const pending = world.nodes[node].apply({
        expectRevision,
        changeId,
        document: createDocument(expectRevision + 1),
    });
    await world.clock.advance(6_000);
    const outcome = await pending;
    return outcome.caseOf<{ revision?: number; inForce?: readonly string[]; refused?: string; }>({
        Left: failure => ({ refused: failure.resultCode.name }),
        Right: applied => ({ revision: applied.revision, inForce: applied.inForce }),
    });
};

describe("ReplicatedConfiguration", () => {
    it("has a change in force on all nodes that it reports to the operator", async () => {
        const world = createCluster(1);
        await startCluster(world);
        const applied = await applyNow(world, 0, 0, "one");
        expect([...applied.inForce!].sort()).toEqual(nodeIds);
        expect(world.nodes.map(node => node.revision)).toEqual([1, 1, 1, 1]);
        await world.stop();
    });

    it("reports a conflict to one of two operators who apply changes at the same time", async () => {
        const world = createCluster(2);
        await startCluster(world);
        const [first, second] = await Promise.all([
            applyNow(world, 0, 0, "one"),
            applyNow(world, 1, 0, "two"),
        ]);
        expect([first.refused, second.refused].filter(refused => refused === "configuration-conflict").length)
            .toBe(1);
        expect([first.revision, second.revision].filter(revision => revision === 1).length).toBe(1);
        await world.stop();
    });

    it("recovers from a lost answer by reading the change from the store", async () => {
        const world = createCluster(3);
        await startCluster(world);
        world.tables.faults = { outage: 0, lostAnswer: 0.5, lateEffect: 0 };
        const applied = await applyNow(world, 0, 0, "one");
        expect(applied.revision).toBe(1);
        await world.stop();
    });

    it("reports an unavailable store during an outage, and an unknown outcome after a lost answer", async () => {
        const world = createCluster(4);
        await startCluster(world);
        world.tables.faults = { outage: 1, lostAnswer: 0, lateEffect: 0 };
        expect((await applyNow(world, 0, 0, "one")).refused).toBe("store-unavailable");
        const lost = createCluster(5);
        await startCluster(lost);
        lost.tables.transact = async operations => {
            lost.tables.memory.commit(operations);
            throw new StoreError("the answer was lost", "unknown");
        };
        expect((await applyNow(lost, 0, 0, "one")).refused).toBe("configuration-unknown");
        expect(
            await new ConfigurationStore({ tables: lost.tables.memory, clock: lost.clock }).settleChange(
                "one",
            ),
        ).toBe(1);
        await world.stop();
        await lost.stop();
    });

    it("reaches a previously isolated node through members during a store outage", async () => {
        const world = createCluster(6);
        await startCluster(world);
        world.isolated.add("d");
        const applied = await applyNow(world, 0, 0, "one");
        expect([...applied.inForce!].sort()).toEqual(["a", "b", "c"]);
        expect(world.nodes[3].isCurrent()).toBe(false);
        world.tables.faults = { outage: 1, lostAnswer: 0, lateEffect: 0 };
        world.isolated.clear();
        await advanceWithHeartbeats(world, 1_000);
        expect(world.nodes[3].revision).toBe(1);
        expect(world.nodes[3].isCurrent()).toBe(true);
        await world.stop();
    });

    it("keeps the newer revision if an older answer of the store arrives late", async () => {
        const world = createCluster(7);
        await startCluster(world);
        await applyNow(world, 0, 0, "one");
        const read = world.tables.read.bind(world.tables);
        let late = 0;
        world.tables.read = async addresses => {
            const rows = await read(addresses);
            if (addresses.length === 1) {
                late += 1;
                await world.clock.sleep(4_000);
            }
            return rows;
        };
        await world.clock.advance(1_200);
        expect(late).toBeGreaterThan(0);
        await applyNow(world, 0, 1, "two");
        expect(world.nodes.map(node => node.revision)).toEqual([2, 2, 2, 2]);
        await world.stop();
    });

    it("never reverts and commits one change per revision, under faults, isolation and races", async () => {
        const step = fc.record({
            node: fc.nat(3),
            other: fc.nat(3),
            cut: fc.option(fc.constantFrom(...nodeIds), { nil: undefined }),
            outage: fc.double({ min: 0, max: 0.6, noNaN: true }),
            lostAnswer: fc.double({ min: 0, max: 0.4, noNaN: true }),
        });
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(step, { minLength: 1, maxLength: 5 }),
                async (seed, steps) => {
                    const world = createCluster(seed);
                    await startCluster(world);
                    const confirmed = new Map<number, string>();
                    const highest = nodeIds.map(() => 0);
                    let change = 0;
                    for (const { node, other, cut, outage, lostAnswer } of steps) {
                        world.tables.faults = { outage, lostAnswer, lateEffect: 0 };
                        if (cut) {
                            world.isolated.add(cut);
                        }
                        const base = world.nodes[node].revision;
                        const ids = [`change-${change}`, `change-${change + 1}`];
                        change += 2;
                        const answers = await Promise.all([
                            applyNow(world, node, base, ids[0]),
                            applyNow(world, other, base, ids[1]),
                        ]);
                        answers.forEach((answer, index) => {
                            if (answer.revision !== undefined) {
                                expect(confirmed.get(answer.revision)).toBeUndefined();
                                confirmed.set(answer.revision, ids[index]);
                            }
                        });
                        world.isolated.clear();
                        await advanceWithHeartbeats(world, 600);
                        world.nodes.forEach((candidate, index) => {
                            expect(candidate.revision).toBeGreaterThanOrEqual(highest[index]);
                            highest[index] = candidate.revision;
                        });
                    }
                    world.tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 0 };
                    await advanceWithHeartbeats(world, 3_000);
                    const revisions = new Set(world.nodes.map(node => node.revision));
                    expect(revisions.size).toBe(1);
                    for (const [revision, changeId] of confirmed) {
                        const key = `history/${String(revision).padStart(10, "0")}`;
                        const [row] = await world.tables.memory.read([{ table: "configuration", key }]);
                        expect((row!.value as { changeId: string; }).changeId).toBe(changeId);
                    }
                    expect(world.broken).toEqual([]);
                    await world.stop();
                },
            ),
            { seed: 9, numRuns: 15 },
        );
    });
});
