import { FakeClock } from "./FakeClock";
import { waitWithTimeout } from "./waitWithTimeout";

const never = new Promise<string>(() => {});

describe("waitWithTimeout", () => {
    let clock: FakeClock;
    beforeEach(() => {
        clock = new FakeClock();
    });

    it("returns the value of the first promise to settle", async () => {
        const waited = waitWithTimeout({ clock, promises: [never, Promise.resolve("done")], timeoutMs: 100 });
        expect(await waited).toBe("done");
    });

    it("returns undefined on a time-out", async () => {
        const waited = waitWithTimeout({ clock, promises: [never], timeoutMs: 100 });
        await clock.advance(100);
        expect(await waited).toBeUndefined();
    });

    it("throws the error of the first promise to settle", async () => {
        const waited = waitWithTimeout({
            clock,
            promises: [Promise.reject(new Error("lost"))],
            timeoutMs: 100,
        });
        await expect(waited).rejects.toThrow("lost");
    });
});
