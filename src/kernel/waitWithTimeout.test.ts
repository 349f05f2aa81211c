import { FakeClock } from "./FakeClock";
import { waitWithTimeout } from "./waitWithTimeout";

const never = new Promise<string>(() => {});

describe("waitWithin", () => {
    let clock: FakeClock;
    beforeEach(() => {
        clock = new FakeClock();
    });

    it("returns the first value that settles in time", async () => {
        const waited = waitWithTimeout({ clock, promises: [never, Promise.resolve("done")], timeoutMs: 100 });
        expect(await waited).toBe("done");
    });

    it("returns undefined when the time is over first", async () => {
        const waited = waitWithTimeout({ clock, promises: [never], timeoutMs: 100 });
        await clock.advance(100);
        expect(await waited).toBeUndefined();
    });

    it("fails with the promise that fails first", async () => {
        const waited = waitWithTimeout({
            clock,
            promises: [Promise.reject(new Error("lost"))],
            timeoutMs: 100,
        });
        await expect(waited).rejects.toThrow("lost");
    });
});
