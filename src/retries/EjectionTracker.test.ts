import { FakeClock } from "../kernel/FakeClock";
import { EjectionTracker } from "./EjectionTracker";

const fail = (tracker: EjectionTracker, runnerId: string, times: number, runnerCount: number): boolean => {
    let ejected = false;
    for (let index = 0; index < times; index += 1) {
        ejected = tracker.recordFailure(runnerId, runnerCount) || ejected;
    }
    return ejected;
};

describe("EjectionTracker", () => {
    it("ejects after three consecutive failures and ramps the traffic share up afterwards", async () => {
        const clock = new FakeClock();
        const tracker = new EjectionTracker({ clock });
        expect(fail(tracker, "a", 3, 6)).toBe(true);
        expect(tracker.computeTrafficShare("a")).toBe(0);
        await clock.advance(2_500);
        expect(tracker.computeTrafficShare("a")).toBeCloseTo(0.1);
        await clock.advance(5_000);
        expect(tracker.computeTrafficShare("a")).toBeCloseTo(0.55);
        await clock.advance(5_000);
        expect(tracker.computeTrafficShare("a")).toBe(1);
    });

    it("never ejects more than a third of the runners", () => {
        const tracker = new EjectionTracker({ clock: new FakeClock() });
        const ejected = ["a", "b", "c", "d"].filter(id => fail(tracker, id, 5, 6));
        expect(ejected).toEqual(["a", "b"]);
    });

    it("resets the failure count on a success", () => {
        const tracker = new EjectionTracker({ clock: new FakeClock() });
        fail(tracker, "a", 2, 6);
        tracker.recordSuccess("a");
        expect(fail(tracker, "a", 2, 6)).toBe(false);
    });
});
