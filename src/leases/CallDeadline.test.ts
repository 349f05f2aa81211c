import { FakeClock } from "../kernel/FakeClock";
import { SimulatedVmClock } from "../../standins/SimulatedVmClock";
import { CallDeadline } from "./CallDeadline";

const callTimeoutMs = 800;
const pollMs = 50;

describe("CallDeadline", () => {
    let world: FakeClock;
    let clock: SimulatedVmClock;
    let deadline: CallDeadline;
    let started: Promise<void>;

    beforeEach(() => {
        world = new FakeClock();
        clock = new SimulatedVmClock(world);
        deadline = new CallDeadline({ clock, callTimeoutMs });
        started = deadline.start();
    });

    afterEach(async () => {
        deadline.stop();
        await world.advance(pollMs);
        await started;
    });

    it("gives a call up when its time is over, and not before", async () => {
        await world.advance(callTimeoutMs - pollMs);
        expect(deadline.signal.aborted).toBe(false);
        await world.advance(2 * pollMs);
        expect(deadline.signal.aborted).toBe(true);
    });

    it("gives a call up soon after a suspension in which its time passed by the wall clock alone", async () => {
        const startMs = clock.readMonotonicMs();
        clock.pauseWithClock();
        await world.advance(callTimeoutMs);
        clock.resume();
        await world.advance(2 * pollMs);
        expect(clock.readMonotonicMs() - startMs).toBeLessThanOrEqual(2 * pollMs);
        expect(deadline.signal.aborted).toBe(true);
    });

    it("gives a call up in time when the wall clock is set back", async () => {
        clock.step(-5_000);
        await world.advance(callTimeoutMs + pollMs);
        expect(deadline.signal.aborted).toBe(true);
    });

    it("does not give a call up that has ended", async () => {
        deadline.stop();
        await world.advance(2 * callTimeoutMs);
        expect(deadline.signal.aborted).toBe(false);
    });
});
