import { FakeClock } from "../kernel/FakeClock";
import { SharedReading } from "./SharedReading";

const readMs = 20;
const intervalMs = 100;

describe("SharedReading", () => {
    let clock: FakeClock;
    let beganAtMs: number[];
    let reading: SharedReading;

    beforeEach(() => {
        clock = new FakeClock({ startMs: 0 });
        beganAtMs = [];
        const read = async (): Promise<boolean> => {
            beganAtMs.push(clock.readMonotonicMs());
            await clock.sleep(readMs);
            return true;
        };
        reading = new SharedReading({ clock, read, intervalMs });
    });

    it("is made once for all that ask before it begins", async () => {
        const results = Promise.all([reading.join(), reading.join(), reading.join()]);
        await clock.advance(readMs);
        expect(await results).toEqual([true, true, true]);
        expect(beganAtMs).toEqual([0]);
    });

    it("is made again, after a pause, for those that ask once it has begun", async () => {
        const first = reading.join();
        await clock.advance(readMs / 2);
        const others = Promise.all([reading.join(), reading.join()]);
        await clock.advance(intervalMs + readMs);
        expect([await first, ...(await others)]).toEqual([true, true, true]);
        expect(beganAtMs).toEqual([0, intervalMs]);
    });

    it("begins at once where the last one is long ago", async () => {
        void reading.join();
        await clock.advance(1_000);
        void reading.join();
        await clock.advance(0);
        expect(beganAtMs).toEqual([0, 1_000]);
    });
});
