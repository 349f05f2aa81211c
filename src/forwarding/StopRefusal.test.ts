import { FailureError } from "../results/FailureError";
import { resultCodes } from "../results/resultCodes";
import { StopRefusal } from "./StopRefusal";

describe("StopRefusal", () => {
    let isAllowed: boolean;
    let listeners: Set<() => void>;
    let refusal: StopRefusal;

    beforeEach(() => {
        isAllowed = true;
        listeners = new Set();
        const plannedStop = {
            isDispatchAllowed: () => isAllowed,
            onStep: (listener: () => void) => listeners.add(listener),
            removeListener: (listener: () => void) => listeners.delete(listener),
        };
        refusal = new StopRefusal(plannedStop, 0);
    });

    it("refuses a request as not run once it may be passed on no longer", async () => {
        refusal.check();
        isAllowed = false;
        listeners.forEach(listener => listener());
        const error = await refusal.refused.catch((caught: unknown) => caught) as FailureError;
        expect(error.failure.resultCode).toBe(resultCodes.nodeLeaving);
        expect(() => refusal.check()).toThrow(FailureError);
    });

    it("goes on with a request that may still be passed on, and removes its listener", async () => {
        listeners.forEach(listener => listener());
        expect(await Promise.race([refusal.refused, "pending"])).toBe("pending");
        refusal.close();
        expect(listeners.size).toBe(0);
    });
});
