import { CoalescedRuns } from "./CoalescedRuns";

describe("CoalescedRuns", () => {
    let runs: CoalescedRuns<number>;
    let begun: number;
    let ends: ((error?: Error) => void)[];

    beforeEach(() => {
        begun = 0;
        ends = [];
        runs = new CoalescedRuns(() => {
            begun += 1;
            const run = begun;
            return new Promise((resolve, reject) => {
                ends.push(error => error ? reject(error) : resolve(run));
            });
        });
    });

    const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

    it("runs the operation once at a time, and once for all requests that wait", async () => {
        const first = runs.run();
        await settle();
        const others = [runs.run(), runs.run(), runs.run()];
        await settle();
        expect(begun).toBe(1);
        ends[0]();
        expect(await first).toBe(1);
        await settle();
        expect(begun).toBe(2);
        ends[1]();
        expect(await Promise.all(others)).toEqual([2, 2, 2]);
    });

    it("hands a failure to those that asked for the run, and runs again", async () => {
        const first = runs.run();
        const rejected = expect(first).rejects.toThrow("cut off");
        await settle();
        const second = runs.run();
        ends[0](new Error("cut off"));
        await rejected;
        await settle();
        ends[1]();
        expect(await second).toBe(2);
    });
});
