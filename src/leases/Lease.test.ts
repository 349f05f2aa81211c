import fc from "fast-check";
import { FaultyTableService } from "../../standins/FaultyTableService";
import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import type { Clock } from "../kernel/types";
import { StoreEra } from "../feeds/StoreEra";
import { EventLog } from "../telemetry/EventLog";
import { Lease } from "./Lease";

/** Clock of a process that can be paused. Time advances during a pause; sleeps end only after it. */
class PausableClock implements Clock {
    private resumed: Promise<void> = Promise.resolve();
    private resume: () => void = () => {};
    /** Time during which the monotonic clock was stopped by a suspension, in milliseconds. */
    suspendedMs = 0;

    constructor(private readonly inner: FakeClock) {}

    readWallMs(): number {
        return this.inner.readWallMs();
    }

    readMonotonicMs(): number {
        return this.inner.readMonotonicMs() - this.suspendedMs;
    }

    async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        await this.inner.sleep(delayMs, signal);
        await this.resumed;
    }

    setPaused(paused: boolean): void {
        this.resume();
        this.resumed = paused ? new Promise(resolve => this.resume = resolve) : Promise.resolve();
    }
}

const leaseAddress = { table: "leases", key: "fleet" };

const createLeases = (
    seed: number,
): {
    clock: FakeClock;
    clocks: PausableClock[];
    leases: Lease[];
    tables: FaultyTableService;
    storeEra: StoreEra;
} => {
    const storeEra = new StoreEra();
    storeEra.observe(1);
    const clock = new FakeClock();
    const random = new SeededRandom(seed);
    const tables = new FaultyTableService({
        clock,
        random,
        faults: { outage: 0, lostAnswer: 0, lateEffect: 0 },
    });
    const clocks = ["a", "b", "c"].map(() => new PausableClock(clock));
    const leases = ["a", "b", "c"].map((nodeId, index) =>
        new Lease({
            duty: "fleet",
            nodeId,
            tables,
            storeEra,
            clock: clocks[index],
            random,
            events: new EventLog({ node: nodeId, clock }),
            isCandidate: () => true,
        })
    );
    return { clock, clocks, leases, tables, storeEra };
};

describe("Lease", () => {
    it("passes from a paused holder to another node, and the resumed holder detects its expiry", async () => {
        const { clock, clocks, leases } = createLeases(1);
        leases.forEach(lease => void lease.start());
        await clock.advance(12_000);
        const holder = leases.findIndex(lease => lease.readHeld());
        const { fencing } = leases[holder].readHeld()!;
        clocks[holder].setPaused(true);
        await clock.advance(20_000);
        const successor = leases.findIndex((lease, index) => index !== holder && lease.readHeld());
        expect(leases[successor].readHeld()!.fencing).toBeGreaterThan(fencing);
        expect(leases[holder].readHeld()).toBeUndefined();
        clocks[holder].setPaused(false);
        await clock.advance(5_000);
        expect(leases[holder].readHeld()).toBeUndefined();
        await Promise.all(leases.map(lease => lease.stop()));
    });

    it("is not held after a suspension during which the monotonic clock stopped", async () => {
        const { clock, clocks, leases } = createLeases(2);
        leases.forEach(lease => void lease.start());
        await clock.advance(12_000);
        const holder = leases.findIndex(lease => lease.readHeld());
        clocks[holder].setPaused(true);
        await clock.advance(20_000);
        clocks[holder].suspendedMs = 20_000;
        expect(leases.filter(lease => lease.readHeld())).toHaveLength(1);
        expect(leases[holder].readHeld()).toBeUndefined();
        clocks[holder].setPaused(false);
        await Promise.all(leases.map(lease => lease.stop()));
    });

    it("keeps its holder when a restored store has lost only renewals, and raises its number", async () => {
        const { clock, leases, tables, storeEra } = createLeases(3);
        leases.forEach(lease => void lease.start());
        await clock.advance(12_000);
        const holder = leases.findIndex(lease => lease.readHeld());
        const { fencing } = leases[holder].readHeld()!;
        const copy = tables.memory.takeCopy();
        await clock.advance(5_000);
        tables.memory.restore(copy);
        storeEra.observe(2);
        for (let step = 0; step < 40; step += 1) {
            await clock.advance(500);
            expect(leases.map(lease => lease.isHolder())).toEqual(leases.map((_, index) => index === holder));
            expect(leases[holder].readHeld()?.fencing ?? Infinity).toBeGreaterThan(fencing + 100_000);
        }
        const raised = leases[holder].readHeld()!.fencing;
        for (let step = 0; step < 20; step += 1) {
            await clock.advance(500);
            expect(leases[holder].readHeld()?.fencing).toBe(raised);
        }
        await Promise.all(leases.map(lease => lease.stop()));
    });

    it("does not go on with its number when a restore brings its row back after another holder acted", async () => {
        const { clock, leases: [lease], tables, storeEra } = createLeases(8);
        await lease.start();
        await clock.advance(12_000);
        const copy = tables.memory.takeCopy();
        const fencing = lease.readHeld()!.fencing + 1;
        const value = { holder: "other", holdingId: "other:1", fencing, durationMs: 6_000, renewals: 0 };
        tables.memory.commit([{ ...leaseAddress, condition: { kind: "any" }, value }]);
        tables.memory.restore(copy);
        storeEra.observe(2);
        expect(lease.readHeld()).toBeUndefined();
        await clock.advance(1_900);
        expect(lease.readHeld()).toBeUndefined();
        await clock.advance(3_000);
        expect(lease.readHeld()!.fencing).toBeGreaterThan(fencing);
        await lease.stop();
    });

    it("has one holder at a time and higher fencing numbers after a restore that lost an acquisition", async () => {
        const { clock, leases, tables, storeEra } = createLeases(4);
        const before = tables.memory.takeCopy();
        leases.forEach(lease => void lease.start());
        await clock.advance(12_000);
        const { fencing } = leases.flatMap(lease => lease.readHeld() ?? [])[0];
        tables.memory.restore(before);
        storeEra.observe(2);
        for (let step = 0; step < 60; step += 1) {
            await clock.advance(250);
            expect(leases.filter(lease => lease.readHeld()).length).toBeLessThanOrEqual(1);
        }
        expect(leases.flatMap(lease => lease.readHeld() ?? [])[0].fencing).toBeGreaterThan(fencing);
        await Promise.all(leases.map(lease => lease.stop()));
    });

    it("counts its duration from the write that the store has, not from a later attempt at the same renewal", async () => {
        const { clock, leases: [lease], tables } = createLeases(5);
        await lease.start();
        await clock.advance(12_000);
        const written = async (): Promise<unknown> => (await tables.memory.read([leaseAddress]))[0]?.revision;
        const before = await written();
        tables.faults = { outage: 0, lostAnswer: 1, lateEffect: 0 };
        const read = jest.spyOn(tables, "read").mockRejectedValue(new Error("cut off"));
        while (await written() === before) {
            await clock.advance(10);
        }
        const writtenAtMs = clock.readMonotonicMs();
        await clock.advance(1_000);
        tables.faults = { outage: 0, lostAnswer: 0, lateEffect: 0 };
        read.mockRestore();
        await clock.advance(1_500);
        tables.faults = { outage: 1, lostAnswer: 0, lateEffect: 0 };
        await clock.advance(writtenAtMs + 0.8 * 6_000 - clock.readMonotonicMs());
        expect(lease.readHeld()).toBeUndefined();
        await lease.stop();
    });

    it.each([
        ["removed", undefined],
        ["null", null],
        ["a text", "row"],
        ["without a number", { holder: "x", holdingId: "x:1" }],
        ["with a text as number", { fencing: "12" }],
        ["with a negative number", { fencing: -5 }],
        ["with a fraction", { fencing: 0.5 }],
        ["with a lower number", { fencing: 1 }],
        ["with a number beyond the safe ones", { fencing: 1e300 }],
        ["deeply nested", { fencing: [[[{}]]] }],
        ["with a number far beyond those used, or without one, by turns", [{ fencing: 2 ** 50 }, {}]],
        ["with the highest number that can be one, or without one", [{ fencing: 2 ** 52 - 1 }, {}]],
    ])("raises the fencing number beyond those used before when its row is %s", async (_name, value) => {
        const { clock, leases, tables } = createLeases(6);
        leases.forEach(lease => void lease.start());
        const used: number[] = [];
        for (let change = 0; change < 3; change += 1) {
            await clock.advance(20_000);
            const [held] = leases.flatMap(lease => lease.readHeld() ?? []);
            expect(Number.isSafeInteger(held.fencing)).toBe(true);
            expect(held.fencing).toBeGreaterThan(Math.max(0, ...used));
            used.push(held.fencing);
            const written = Array.isArray(value) ? value[change % value.length] as unknown : value;
            tables.memory.commit([{ ...leaseAddress, condition: { kind: "any" }, value: written }]);
        }
        const stopped = Promise.all(leases.map(lease => lease.stop()));
        await clock.advance(100);
        await stopped;
    });

    it("lets a new holder act only after its wait from the write on, when the store is slow to write", async () => {
        const { clock, leases: [lease], tables } = createLeases(7);
        let writtenAtMs = Infinity;
        const transact = tables.transact.bind(tables);
        tables.transact = async operations => {
            await clock.sleep(650);
            const outcome = await transact(operations);
            writtenAtMs = Math.min(writtenAtMs, clock.readMonotonicMs());
            return outcome;
        };
        tables.memory.commit([{ ...leaseAddress, condition: { kind: "any" }, value: {} }]);
        await lease.start();
        while (!lease.readHeld()) {
            await clock.advance(10);
        }
        expect(clock.readMonotonicMs()).toBeGreaterThanOrEqual(writtenAtMs + 2_000);
        const stopped = lease.stop();
        await clock.advance(1_000);
        await stopped;
    });

    it("has at most one holder at a time and never-decreasing fencing numbers, under faults and pauses", async () => {
        const step = fc.record({
            paused: fc.option(fc.nat(2), { nil: undefined }),
            outage: fc.double({ min: 0, max: 0.5, noNaN: true }),
            lostAnswer: fc.double({ min: 0, max: 0.4, noNaN: true }),
            /** Number of steps that a restore of the store undoes; 0 for none. */
            restoredSteps: fc.nat(6),
            steps: fc.integer({ min: 1, max: 20 }),
        });
        let held = 0;
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(step, { minLength: 1, maxLength: 8 }),
                async (seed, steps) => {
                    const { clock, clocks, leases, tables, storeEra } = createLeases(seed);
                    const copies = [tables.memory.takeCopy()];
                    leases.forEach(lease => void lease.start());
                    let highest = 0;
                    for (const { paused, outage, lostAnswer, restoredSteps, steps: count } of steps) {
                        if (restoredSteps > 0) {
                            tables.memory.restore(copies.at(-restoredSteps) ?? copies[0]);
                            storeEra.observe(storeEra.current.value! + 1);
                        }
                        clocks.forEach((own, index) => own.setPaused(index === paused));
                        tables.faults = { outage, lostAnswer, lateEffect: 0 };
                        for (let index = 0; index < count; index += 1) {
                            await clock.advance(700);
                            copies.push(tables.memory.takeCopy());
                            const holders = leases.flatMap(lease => lease.readHeld() ?? []);
                            expect(holders.length).toBeLessThanOrEqual(1);
                            for (const holder of holders) {
                                expect(holder.fencing).toBeGreaterThanOrEqual(highest);
                                highest = holder.fencing;
                                held += 1;
                            }
                        }
                    }
                    clocks.forEach(own => own.setPaused(false));
                    const stopped = Promise.all(leases.map(lease => lease.stop()));
                    await clock.advance(100);
                    await stopped;
                },
            ),
            { seed: 12, numRuns: 25 },
        );
        expect(held).toBeGreaterThan(50);
    });
});
