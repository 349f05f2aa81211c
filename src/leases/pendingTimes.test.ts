import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { MemoryTableService } from "../platform/MemoryTableService";
import { StoreError } from "../platform/StoreError";
import { EventLog } from "../telemetry/EventLog";
import { DutyCaller } from "./DutyCaller";
import { Lease } from "./Lease";
import { PendingCalls } from "./PendingCalls";
import type { DutyTarget, LeaseRow } from "./types";

const lateArrivalMs = 8_400;
const durationMs = 3_600;
const callTimeoutMs = 800;
const usage: DutyTarget = { duty: "usage", subject: "usage" };
const order: DutyTarget = { duty: "fleet", subject: "llm zone-a" };

describe("times for which calls without an answer are listed", () => {
    let clock: FakeClock;
    let pending: PendingCalls;

    beforeEach(async () => {
        clock = new FakeClock();
        await clock.advance(durationMs);
        pending = new PendingCalls({ clock, lateArrivalMs });
    });

    it("do not get shorter when a former holder's call is heard of again", () => {
        const nowMs = clock.readMonotonicMs();
        pending.adopt({ "usage usage": 5_000 }, nowMs);
        pending.adopt({ "usage usage": 1_000 }, nowMs);
        expect(pending.computeWaitMs(usage)).toBe(5_000);
    });

    it("do not get shorter when an earlier call of the same holder is given up later", () => {
        const nowMs = clock.readMonotonicMs();
        pending.begin(usage);
        pending.begin(usage);
        pending.abort(usage, nowMs);
        pending.abort(usage, nowMs - 1_000);
        expect(pending.listForRecord()).toEqual({ "usage usage": lateArrivalMs });
    });

    it("are those of a former holder's call where these are longer than those of an own one", () => {
        const nowMs = clock.readMonotonicMs();
        pending.adopt({ "usage usage": 5_000 }, nowMs);
        pending.begin(usage);
        pending.abort(usage, nowMs - lateArrivalMs + 1_000);
        expect(pending.listForRecord()).toEqual({ "usage usage": 5_000 });
    });

    it("count from when a call was written, not from when it was given up", async () => {
        const tables = new MemoryTableService();
        const events = new EventLog({ node: "a", clock });
        const random = new SeededRandom(1);
        const lease = new Lease({
            duty: "cloud",
            nodeId: "a",
            tables,
            clock,
            random,
            events,
            isCandidate: () => true,
            durationMs,
            takeoverDelayMs: callTimeoutMs,
        });
        await lease.start();
        await clock.advance(durationMs);
        const caller = new DutyCaller({ lease, clock, events, callTimeoutMs });
        const called = caller.call(usage, async (_fencing, stages) => {
            await stages.onConnected();
            stages.onWrite();
            await clock.sleep(callTimeoutMs);
            throw new StoreError("no answer", "unknown");
        });
        const failed = expect(called).rejects.toThrow("no answer");
        await clock.advance(callTimeoutMs);
        await failed;
        await lease.beginCall(order);
        const [row] = await tables.read([{ table: "leases", key: "cloud" }]);
        expect((row!.value as LeaseRow).lateCalls).toEqual({
            "usage usage": lateArrivalMs - callTimeoutMs,
            "fleet llm zone-a": lateArrivalMs,
        });
        const stopped = lease.stop();
        await clock.advance(durationMs);
        await stopped;
    });
});
