import { FakeClock } from "./FakeClock";
import { waitWithin } from "./waitWithin";

const never = new Promise<string>(() => {});

describe("waitWithin", () => {
    let clock: FakeClock;
    beforeEach(() => {
        clock = new FakeClock();
    });

    it("returns the first value that settles in time", async () => {
        const waited = waitWithin({ clock, pending: [never, Promise.resolve("done")], waitMs: 100 });
        expect(await waited).toBe("done");
    });

    it("returns undefined when the time is over first", async () => {
        const waited = waitWithin({ clock, pending: [never], waitMs: 100 });
        await clock.advance(100);
        expect(await waited).toBeUndefined();
    });

    it("fails with the promise that fails first", async () => {
        const waited = waitWithin({ clock, pending: [Promise.reject(new Error("lost"))], waitMs: 100 });
        await expect(waited).rejects.toThrow("lost");
    });
});
