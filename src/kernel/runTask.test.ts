import { FakeClock } from "./FakeClock";
import { runTask } from "./runTask";
import { TaskScope } from "./TaskScope";
import type { Task } from "./types";
import { waitFor } from "./waitFor";

describe("runTask", () => {
    it("passes the values and errors of promises into the generator", async () => {
        const handle = runTask(function*(): Task<string> {
            const value = yield* waitFor(Promise.resolve(2));
            try {
                yield* waitFor(Promise.reject(new Error("no")));
            }
            catch (error) {
                return `${value} ${(error as Error).message}`;
            }
            return "unreachable";
        }, { name: "test" });
        expect(await handle.done).toBe("2 no");
    });

    it("runs finally blocks on cancellation and awaits their promises", async () => {
        const clock = new FakeClock();
        const log: string[] = [];
        const scope = new TaskScope();
        scope.run("test", function*(): Task<void> {
            try {
                yield* waitFor(clock.sleep(1_000));
                log.push("woke");
            }
            finally {
                yield* waitFor(Promise.resolve());
                log.push("cleaned up");
            }
        });
        await scope.cancel();
        expect(log).toEqual(["cleaned up"]);
        expect(scope.size).toBe(0);
    });

    it("reports the error of a failed task", async () => {
        const errors: string[] = [];
        const scope = new TaskScope({
            onTaskError: (name, error) => errors.push(`${name}: ${(error as Error).message}`),
        });
        const handle = scope.run("broken", function*(): Task<void> {
            yield* waitFor(Promise.reject(new Error("bad")));
        });
        await handle.done.catch(() => {});
        expect(errors).toEqual(["broken: bad"]);
    });
});
