import { pauseProcess } from "../../standins/pauseProcess";
import { pause } from "../../standins/pause";
import { SystemClock } from "../kernel/SystemClock";
import { PlannedStop } from "./PlannedStop";

const graceMs = 4_000;
const shortGraceMs = 400;
const heldUpMs = 700;
const turnMs = 250; // of the recorded times, with room for a busy machine

describe("PlannedStop", () => {
    const clock = new SystemClock();
    let stop: PlannedStop;

    beforeEach(async () => {
        stop = new PlannedStop({ clock });
        await stop.start();
        await pause(turnMs);
    });

    afterEach(() => stop.stop());

    // Guards against a grace period that seems to begin when a busy process handles its signal.
    it("counts the grace period from before a time for which the process was held up", async () => {
        const requestedMs = clock.readMonotonicMs();
        const isHandled = new Promise<number>(resolve =>
            setTimeout(() => resolve(stop.begin(graceMs).answerEndMs), 0)
        );
        pauseProcess(heldUpMs);
        const answerEndMs = await isHandled;
        expect(answerEndMs).toBeLessThanOrEqual(requestedMs + graceMs * 7 / 8);
        expect(answerEndMs).toBeGreaterThan(requestedMs + graceMs / 2);
    });

    it("takes a process that was held up for most of the grace period for one that was suspended", () => {
        pauseProcess(shortGraceMs);
        expect(stop.begin(shortGraceMs).lateMs).toBeCloseTo(shortGraceMs / 4);
    });

    it("tells when requests may be passed on no longer, and when they are to be answered", async () => {
        const answersDue: boolean[] = [];
        let removedCalls = 0;
        const removed = (): void => {
            removedCalls += 1;
        };
        stop.onStep(() => {
            answersDue.push(stop.isAnswerDue());
        });
        stop.onStep(removed);
        stop.removeListener(removed);
        stop.begin(shortGraceMs);
        expect(stop.isAnswerDue()).toBe(false);
        await pause(shortGraceMs);
        expect(stop.isAnswerDue()).toBe(true);
        expect(answersDue).toEqual([false, true]);
        expect(removedCalls).toBe(0);
    });

    // Guards against processor time that each request costs for a stop that is not planned.
    it("reads no time for a request while no stop is planned", () => {
        const readMonotonicMs = jest.spyOn(clock, "readMonotonicMs");
        expect(stop.isDispatchAllowed({ deadlineMs: 0, hasBegun: false })).toBe(true);
        expect(readMonotonicMs).not.toHaveBeenCalled();
        readMonotonicMs.mockRestore();
    });

    it("asks the decision with the present time", () => {
        const dispatch = { deadlineMs: Infinity, hasBegun: false };
        expect(stop.isDispatchAllowed(dispatch)).toBe(true);
        stop.begin(graceMs);
        expect(stop.isDispatchAllowed(dispatch)).toBe(true);
        stop.begin(1);
        pauseProcess(1);
        expect(stop.isDispatchAllowed(dispatch)).toBe(false);
    });
});
