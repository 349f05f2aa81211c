import { pause } from "../../standins/pause";
import { SystemClock } from "./SystemClock";

const observedMs = 50;

describe("SystemClock", () => {
    // Guards against a time-out longer than a timer of Node.js, which fired at once.
    it.each([2 ** 31, 1e308, Infinity])("sleeps for %d ms until it is aborted", async delayMs => {
        const controller = new AbortController();
        let isAwake = false;
        const sleeping = new SystemClock().sleep(delayMs, controller.signal).then(() => {
            isAwake = true;
        });
        await pause(observedMs);
        expect(isAwake).toBe(false);
        controller.abort();
        await sleeping;
    });
});
