import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { retryStoreCall } from "./retryStoreCall";

describe("retryStoreCall", () => {
    const clock = new FakeClock();
    const events = new EventLog({ node: "n", clock });

    it("retries after failures and after calls without a result", async () => {
        const outcomes = [
            () => Promise.reject(new Error("down")),
            async () => undefined,
            async () => "value",
        ];
        const result = retryStoreCall({ name: "load", call: () => outcomes.shift()!(), clock, events });
        await clock.advance(50);
        await clock.advance(100);
        expect(await result).toBe("value");
    });

    it("stops retrying when its signal aborts", async () => {
        const aborter = new AbortController();
        let calls = 0;
        const call = async (): Promise<undefined> => {
            calls += 1;
        };
        const result = retryStoreCall({ name: "load", call, clock, events, signal: aborter.signal });
        await clock.advance(50);
        aborter.abort();
        expect(await result).toBeUndefined();
        expect(calls).toBe(2);
    });
});
