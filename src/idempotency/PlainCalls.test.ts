import fc from "fast-check";
import { FaultyTableService } from "../../standins/FaultyTableService";
import { FakeClock } from "../kernel/FakeClock";
import { runTask } from "../kernel/runTask";
import { SeededRandom } from "../kernel/SeededRandom";
import { PeerError } from "../peers/PeerError";
import type { PeerHandler } from "../peers/PeerMessageRouter";
import type { Vm } from "../platform/types";
import { toFailure } from "../results/toFailure";
import { EjectionTracker } from "../retries/EjectionTracker";
import { EventLog } from "../telemetry/EventLog";
import { Invariants } from "../telemetry/Invariants";
import { Runner } from "../upstreams/Runner";
import type { PlainCall, PlainClient } from "../upstreams/types";
import { GroupCommitter } from "./GroupCommitter";
import { PlainCalls } from "./PlainCalls";
import { SendRecords } from "./SendRecords";

/** Behaviour of the plain service for one call. */
type ServiceFault = "answers" | "unreachable" | "runs-and-loses-answer";

interface ReportedOutcome {
    readonly key: string;
    readonly outcome: string;
}

/** Two nodes over one faulty table service and one plain service. */
class CallSimulation {
    readonly clock = new FakeClock();
    readonly runs = new Map<string, number>();
    readonly brokenInvariants: string[] = [];
    readonly reported: ReportedOutcome[] = [];
    readonly tables: FaultyTableService;
    private readonly random: SeededRandom;
    private readonly handlers = new Map<string, Map<string, PeerHandler>>();
    private readonly nodes: { plainCalls: PlainCalls; records: SendRecords; isDead: boolean; }[] = [];

    constructor(seed: number, private readonly serviceFaults: readonly ServiceFault[]) {
        this.random = new SeededRandom(seed);
        this.tables = new FaultyTableService({
            clock: this.clock,
            random: this.random,
            faults: { outage: 0.15, lostAnswer: 0.15, lateEffect: 0.1 },
        });
        ["a", "b"].forEach(nodeId => this.addNode(nodeId));
    }

    /** Sends a booking under a key to a node, and notes the reported outcome. */
    async book(node: number, key: string): Promise<void> {
        const call: PlainCall = {
            method: "POST",
            path: "/bookings",
            headers: {},
            body: Buffer.from(key),
            timeoutMs: 1_000,
        };
        const task = runTask(
            () =>
                this.nodes[node].plainCalls.runAtMostOnce(
                    { accountId: "account", service: "roster", call },
                    key,
                ),
            { name: "call" },
        );
        await task.done.then(
            () => this.reported.push({ key, outcome: "answered" }),
            error => {
                const failure = toFailure(error);
                this.reported.push({ key, outcome: failure.run ?? failure.resultCode.run });
            },
        );
    }

    async settle(): Promise<void> {
        this.tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 0 };
        await this.clock.advance(20_000);
    }

    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(node => node.records.stop()));
    }

    private addNode(nodeId: string): void {
        const clock = this.clock;
        const events = new EventLog({ node: nodeId, clock });
        const invariants = new Invariants({ events, onBroken: name => this.brokenInvariants.push(name) });
        const committer = new GroupCommitter({ tables: this.tables, clock });
        const records = new SendRecords({
            nodeId,
            tables: this.tables,
            committer,
            clock,
            random: this.random,
            events,
            invariants,
        });
        const vm: Vm = {
            id: "runner",
            role: "upstream",
            service: "roster",
            dataCentre: "dc",
            url: "",
            state: "live",
            market: "reclaimable",
            machineClass: "cpu",
        };
        const runner = new Runner(vm, { plain: this.createClient() }, clock);
        const own = new Map<string, PeerHandler>();
        this.handlers.set(nodeId, own);
        const plainCalls = new PlainCalls({
            nodeId,
            plannedStop: { isDispatchAllowed: () => true },
            clock,
            random: this.random,
            events,
            records,
            registry: {
                listUsable: () => [runner],
                listRunners: () => [runner],
                ejections: new EjectionTracker({ clock }),
            },
            network: {
                registerHandler: (method, handler) => void own.set(method, handler),
                call: async (to, method, payload) => {
                    if (this.random.drawInt(4) === 0) {
                        throw new PeerError("the link was lost", "unreachable");
                    }
                    return this.handlers.get(to)!.get(method)!(payload, nodeId);
                },
            },
        });
        void records.start();
        this.nodes.push({ plainCalls, records, isDead: false });
    }

    private createClient(): PlainClient {
        return {
            close: async () => {},
            call: async call => {
                await this.clock.sleep(this.random.drawInt(50));
                const fault = this.serviceFaults[this.random.drawInt(this.serviceFaults.length)];
                if (fault === "unreachable") {
                    return { failure: { isSent: false, message: "no connection" } };
                }
                const key = call.body!.toString();
                this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
                return fault === "answers"
                    ? { answer: { status: 201, headers: {}, body: Buffer.from("ok") } }
                    : { failure: { isSent: true, message: "the answer was lost" } };
            },
        };
    }
}

describe("non-idempotent calls", () => {
    it("run at most once, and are reported as not run only if they did not run, under store and service faults", async () => {
        const step = fc.record({
            node: fc.nat(1),
            key: fc.constantFrom("k1", "k2", "k3"),
            waitMs: fc.nat(300),
        });
        const outcomes = new Map<string, number>();
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(step, { minLength: 1, maxLength: 14 }),
                async (seed, steps) => {
                    const world = new CallSimulation(seed, [
                        "answers",
                        "answers",
                        "unreachable",
                        "runs-and-loses-answer",
                    ]);
                    const pending: Promise<void>[] = [];
                    for (const { node, key, waitMs } of steps) {
                        pending.push(world.book(node, key));
                        await world.clock.advance(waitMs);
                    }
                    await world.clock.advance(30_000);
                    await Promise.all(pending);
                    await world.settle();
                    expect(world.brokenInvariants).toEqual([]);
                    for (const [key, count] of world.runs) {
                        expect(`${key} ran ${count} times`).toBe(`${key} ran 1 times`);
                    }
                    for (const key of new Set(world.reported.map(report => report.key))) {
                        const all = world.reported.filter(report => report.key === key).map(report =>
                            report.outcome
                        );
                        all.forEach(outcome => outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1));
                        if (all.includes("answered")) {
                            expect(world.runs.get(key)).toBe(1);
                        }
                        if (all.every(outcome => outcome === "not-run")) {
                            expect(world.runs.get(key) ?? 0).toBe(0);
                        }
                    }
                    await world.stop();
                },
            ),
            { seed: 42, numRuns: 60 },
        );
        expect([...outcomes.keys()].sort()).toEqual(
            expect.arrayContaining(["answered", "not-run", "unknown"]),
        );
    });

    it("allows a retry under a key whose owner reported that it did not send", async () => {
        const world = new CallSimulation(1, ["answers"]);
        world.tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 1 };
        const refused = world.book(0, "k1");
        await world.clock.advance(10_000);
        await refused;
        await world.settle();
        const retried = world.book(1, "k1");
        await world.clock.advance(5_000);
        await retried;
        expect(world.reported.map(report => report.outcome).at(-1)).toBe("answered");
        expect(world.runs.get("k1")).toBe(1);
        await world.stop();
    });

    it("shares transactions between concurrent calls; a conflict fails its own record only", async () => {
        const world = new CallSimulation(3, ["answers"]);
        world.tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 0 };
        const first = world.book(0, "k0");
        await world.clock.advance(1_000);
        await first;
        const before = world.tables.memory.transactions;
        const pending = Array.from({ length: 100 }, (_, index) => world.book(1, `k${index}`));
        await world.clock.advance(10_000);
        await Promise.all(pending);
        expect(world.tables.memory.transactions - before).toBeLessThanOrEqual(60);
        expect(world.reported.filter(report => report.outcome === "answered").length).toBe(101);
        expect([...world.runs.values()].every(count => count === 1)).toBe(true);
        await world.stop();
    });
});
