import { LateTableService } from "../../standins/LateTableService";
import { FakeClock } from "../kernel/FakeClock";
import { runTask } from "../kernel/runTask";
import type { Task } from "../kernel/types";
import { EventLog } from "../telemetry/EventLog";
import { SavedCounts, type WindowCounts } from "./SavedCounts";

const window = 7;
const run = <T>(task: Task<T>): Promise<T | undefined> => runTask(() => task, { name: "test" }).done;
const toWindows = (count: number): WindowCounts[] => [{ window, counts: { alpha: count } }];

describe("SavedCounts", () => {
    const createSetup = (): { tables: LateTableService; saved: SavedCounts; } => {
        const tables = new LateTableService();
        const events = new EventLog({ node: "n", clock: new FakeClock() });
        return { tables, saved: new SavedCounts({ tables, events, retainedWindows: 3 }) };
    };

    it("reads what was saved, and deletes the counts of an old window", async () => {
        const { tables, saved } = createSetup();
        await run(saved.save([{ window: window - 3, counts: { alpha: 1 } }]));
        expect(await run(saved.save(toWindows(4)))).toBe(true);
        expect(await run(saved.read(window))).toEqual({ alpha: 4 });
        expect((await tables.list("usage-counts", "", 10)).length).toBe(1);
    });

    it("saves again after another writer came first", async () => {
        const { tables, saved } = createSetup();
        const other = new SavedCounts({
            tables,
            events: new EventLog({ node: "o", clock: new FakeClock() }),
            retainedWindows: 3,
        });
        await run(other.save(toWindows(2)));
        expect(await run(saved.save(toWindows(4)))).toBe(false);
        expect(await run(saved.save(toWindows(4)))).toBe(true);
        expect(await run(saved.read(window))).toEqual({ alpha: 4 });
    });

    it("does not take counts for saved that a write without an answer may still replace", async () => {
        const { tables, saved } = createSetup();
        await run(saved.save(toWindows(4)));
        tables.lateTable = "usage-counts";
        await expect(run(saved.save(toWindows(5)))).rejects.toThrow("no answer");
        expect(saved.isSaved(toWindows(4))).toBe(false);
    });
});
