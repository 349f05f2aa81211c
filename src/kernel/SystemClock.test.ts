import { pause } from "../../standins/pause";
import { StoreClock } from "../feeds/StoreClock";
import { Lease } from "../leases/Lease";
import { MemoryTableService } from "../platform/MemoryTableService";
import { EventLog } from "../telemetry/EventLog";
import { SeededRandom } from "./SeededRandom";
import { SystemClock } from "./SystemClock";

const suspendedMs = 3_000;
const leaseMs = 1_000;
const pollMs = 20;
const observedMs = 50;

describe("SystemClock", () => {
    let clock: SystemClock;

    beforeEach(() => {
        clock = new SystemClock();
    });

    afterEach(() => jest.restoreAllMocks());

    /** What a suspension does: the time of day goes on while the steady clock stands still. */
    const passSuspension = (): void => {
        const { now } = Date;
        jest.spyOn(Date, "now").mockImplementation(() => now() + suspendedMs);
    };

    it("reads the time of day in whole milliseconds", () => {
        expect(Math.abs(clock.readWallMs() - Date.now())).toBeLessThan(1_000);
        expect(Number.isInteger(clock.readWallMs())).toBe(true);
    });

    // Guards against leases and ages that go unnoticed past their limit in a suspension, since both clocks stood still.
    it("counts a suspension of the machine in the time of day, not in the steady time", () => {
        const before = { wallMs: clock.readWallMs(), monotonicMs: clock.readMonotonicMs() };
        passSuspension();
        expect(clock.readWallMs() - before.wallMs).toBeGreaterThanOrEqual(suspendedMs);
        expect(clock.readMonotonicMs() - before.monotonicMs).toBeLessThan(suspendedMs);
    });

    it("lets the age of what was read become unknown in a suspension", () => {
        const storeClock = new StoreClock({ clock });
        storeClock.beginCall(0)(7_000);
        expect(storeClock.readStoreMs()).toBeDefined();
        passSuspension();
        expect(storeClock.readStoreMs()).toBeUndefined();
    });

    it("lets a lease end in a suspension", async () => {
        const lease = new Lease({
            duty: "cloud",
            nodeId: "n",
            tables: new MemoryTableService(),
            clock,
            random: new SeededRandom(1),
            events: new EventLog({ node: "n", clock }),
            isCandidate: () => true,
            durationMs: leaseMs,
            takeoverDelayMs: 0,
        });
        await lease.start();
        while (!lease.readHeld()) {
            await clock.sleep(pollMs);
        }
        passSuspension();
        expect(lease.readHeld()).toBeUndefined();
        await lease.stop();
    });

    // Guards against a time-out longer than a timer of Node.js, which fired at once.
    it.each([2 ** 31, 1e308, Infinity])("sleeps for %d ms until it is aborted", async delayMs => {
        const controller = new AbortController();
        let isAwake = false;
        const sleeping = clock.sleep(delayMs, controller.signal).then(() => {
            isAwake = true;
        });
        await pause(observedMs);
        expect(isAwake).toBe(false);
        controller.abort();
        await sleeping;
    });
});
