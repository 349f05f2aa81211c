import { CallOutcomes } from "./CallOutcomes";

describe("CallOutcomes", () => {
    it("takes the store for away after two failures in a row, until a call is answered", () => {
        const outcomes = new CallOutcomes();
        const states = [false, true, false, false, false, true].map(isAnswered => {
            outcomes.record(isAnswered);
            return outcomes.isStoreAway;
        });
        expect(states).toEqual([false, false, false, true, true, false]);
    });

    it("tells those who wait of the next call only", async () => {
        const outcomes = new CallOutcomes();
        outcomes.record(true);
        const next = outcomes.waitForNext();
        outcomes.record(false);
        await expect(next).resolves.toBeUndefined();
    });
});
