import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { MemoryTableService } from "../platform/MemoryTableService";
import { StoreError } from "../platform/StoreError";
import { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { type DutyAnswer, DutyCaller } from "./DutyCaller";
import { Lease } from "./Lease";
import type { LeaseRow } from "./types";

const durationMs = 3_600;
const callTimeoutMs = 800;

describe("DutyCaller", () => {
    let clock: FakeClock;
    let tables: MemoryTableService;
    let events: EventLog;
    let lease: Lease;
    let caller: DutyCaller;
    let arrived: number[];
    let connectMs: number;
    let failure: Error | undefined;

    beforeEach(async () => {
        clock = new FakeClock();
        tables = new MemoryTableService();
        events = new EventLog({ node: "a", clock });
        arrived = [];
        connectMs = 0;
        failure = undefined;
        lease = createLease("a", clock);
        caller = new DutyCaller({ lease, clock, events, callTimeoutMs });
        await lease.start();
        await clock.advance(durationMs);
    });

    afterEach(async () => {
        const stopped = lease.stop();
        await clock.advance(durationMs);
        await stopped;
    });

    const createLease = (nodeId: string, ownClock: FakeClock): Lease =>
        new Lease({
            duty: "cloud",
            nodeId,
            tables,
            clock: ownClock,
            random: new SeededRandom(1),
            events,
            isCandidate: () => true,
            durationMs,
            takeoverDelayMs: callTimeoutMs,
        });

    const call = (): Promise<DutyAnswer<number> | undefined> =>
        caller.call({ duty: "usage", subject: "usage" }, async (fencing, stages) => {
            if (connectMs > 0) {
                await clock.sleep(connectMs);
            }
            try {
                await stages.onConnected();
                stages.onWrite();
            }
            catch (error) {
                throw new StoreError((error as Error).message, "none");
            }
            arrived.push(fencing);
            if (failure) {
                throw failure;
            }
            return arrived.length;
        });

    /** Lets another node take over while the first one and its clocks stand still. */
    const takeOver = async (): Promise<number> => {
        const otherClock = new FakeClock();
        const other = createLease("b", otherClock);
        await other.start();
        await otherClock.advance(2 * durationMs);
        const { fencing } = other.readHeld()!;
        const stopped = other.stop();
        await otherClock.advance(durationMs);
        await stopped;
        return fencing;
    };

    const listOutcomes = (): unknown[] =>
        events.list().filter(({ event }) => event === eventKinds.dutyCalled.number).map(({ fields }) =>
            fields.outcome
        );

    it("calls under the lease that the store confirms", async () => {
        expect(await call()).toMatchObject({ answer: 1 });
        expect(arrived).toEqual([lease.readHeld()!.fencing]);
        expect(listOutcomes()).toEqual(["answered"]);
    });

    const readRecord = async (): Promise<unknown> => {
        const [row] = await tables.read([{ table: "leases", key: "cloud" }]);
        return (row!.value as LeaseRow).lateCalls;
    };

    it.each<[string, Error, object]>([
        ["keeps the record of a call without an answer", new StoreError("no answer", "unknown"), {
            "usage usage": expect.any(Number),
        }],
        [
            "clears the record of a call that was refused as not done",
            new StoreError("status 503", "none"),
            {},
        ],
        ["clears the record of a call with another answer", new Error("status 400"), {}],
    ])("%s", async (_name, error, record) => {
        failure = error;
        await expect(call()).rejects.toBe(error);
        await clock.advance(100);
        expect(await readRecord()).toEqual(record);
    });

    it("logs with what answer or error a call ended", async () => {
        failure = new Error("status 504");
        await expect(call()).rejects.toBe(failure);
        const [ended] = events.list().filter(({ event }) => event === eventKinds.dutyCalled.number);
        expect(ended.fields).toMatchObject({ outcome: "answered", error: "Error: status 504" });
    });

    it("keeps the record of a call of unknown outcome whose sender did not say that it was written", async () => {
        const called = caller.call({ duty: "usage", subject: "usage" }, async (_fencing, stages) => {
            await stages.onConnected();
            throw new StoreError("connection lost", "unknown");
        });
        await expect(called).rejects.toMatchObject({ effect: "unknown" });
        await clock.advance(100);
        expect(await readRecord()).toEqual({ "usage usage": expect.any(Number) });
    });

    it("does not call after a suspension that neither clock shows, when another node holds the lease", async () => {
        const fencing = await takeOver();
        expect(lease.readHeld()!.fencing).toBeLessThan(fencing);
        await expect(call()).rejects.toMatchObject({ effect: "none" });
        expect(arrived).toEqual([]);
        expect(lease.readHeld()).toBeUndefined();
        expect(listOutcomes()).toEqual(["unsent"]);
    });

    it("does not call when another node took the lease over while the connection was opened", async () => {
        connectMs = 500;
        const called = call();
        await takeOver();
        const rejected = expect(called).rejects.toMatchObject({ effect: "none" });
        await clock.advance(connectMs);
        await rejected;
        expect(arrived).toEqual([]);
    });

    it("calls while the store is slow to confirm the lease", async () => {
        const transact = tables.transact.bind(tables);
        tables.transact = async operations => {
            await clock.sleep(350);
            return transact(operations);
        };
        const called = call();
        await clock.advance(500);
        expect(await called).toMatchObject({ answer: 1 });
    });

    it("does not call while the store cannot confirm the lease in time", async () => {
        const transact = tables.transact.bind(tables);
        tables.transact = async operations => {
            await clock.sleep(500);
            return transact(operations);
        };
        const rejected = expect(call()).rejects.toMatchObject({ effect: "none" });
        await clock.advance(600);
        await rejected;
        expect(arrived).toEqual([]);
    });
});
