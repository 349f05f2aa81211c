import { FakeClock } from "../kernel/FakeClock";
import { type HeardState, HeardStates } from "./HeardStates";

describe("HeardStates", () => {
    let clock: FakeClock;
    let states: HeardStates<HeardState>;

    beforeEach(() => {
        clock = new FakeClock();
        states = new HeardStates(clock);
        states.add("a", { heardMs: clock.readMonotonicMs() });
    });

    it("keeps a state until it was not heard for ten seconds, and drops it when another is added", async () => {
        await clock.advance(10_000);
        expect(states.find("a")).toBeDefined();
        await clock.advance(1);
        expect(states.find("a")).toBeUndefined();
        states.add("b", { heardMs: -Infinity });
        states.drop("b");
        states.add("c", { heardMs: clock.readMonotonicMs() });
        expect(states.find("c")).toBeDefined();
    });

    it("drops a state once, and not one that was heard a moment ago", async () => {
        expect(states.drop("a")).toBe(false);
        await clock.advance(500);
        expect(states.drop("a")).toBe(true);
        expect(states.drop("a")).toBe(false);
        expect(states.isEmpty()).toBe(true);
    });

    it("calls a state news if it is not known, or was not heard for two seconds", async () => {
        expect(states.isNews(undefined)).toBe(true);
        await clock.advance(1_999);
        expect(states.isNews(states.find("a"))).toBe(false);
        await clock.advance(1);
        expect(states.isNews(states.find("a"))).toBe(true);
    });
});
