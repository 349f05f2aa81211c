import { z } from "zod";
import type { Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Row, RowCondition, TableService } from "../platform/types";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { formatWindowKey } from "./formatWindowKey";
import { countsSchema, type UsageCounts } from "./types";

/** Options of {@link SavedCounts}. */
export interface SavedCountsOptions {
    readonly tables: TableService;
    readonly events: EventLog;
    /** Number of windows after which the counts of a window are deleted. */
    readonly retainedWindows: number;
}

/** Counts of one window. */
export interface WindowCounts {
    readonly window: number;
    readonly counts: UsageCounts;
}

/** Counts by the process that counted them. */
const savedCountsSchema = z.record(countsSchema);
/** Holds the counts of unreported windows for the next lease holder. */
const table = "usage-counts";
/** Name under which the sum over all processes is saved. */
const allProcesses = "all";

/**
 * Counts of unreported windows in the store. They are written under the revision that was seen last, since a write without
 * an answer may be carried out after later ones.
 */
export class SavedCounts {
    /** Condition of the next write of each window; windows that are left out are expected to have no row. */
    private readonly conditions = new Map<number, RowCondition>();
    private savedText = "";

    constructor(private readonly options: SavedCountsOptions) {}

    /** Forgets what the store holds, after it was restored from an older copy. */
    reset(): void {
        this.conditions.clear();
        this.savedText = "";
    }

    /** Reads the saved counts of a window; a row of another writer that holds none counts as empty. */
    *read(window: number): Task<UsageCounts> {
        const key = formatWindowKey(window);
        const [row] = yield* waitFor(this.options.tables.read([{ table, key }]));
        this.conditions.set(window, toCondition(row));
        const saved = savedCountsSchema.safeParse(row?.value ?? {});
        if (!saved.success) {
            this.options.events.emit(eventKinds.rowUnreadable, { table, key });
        }
        return sumProcesses(saved.data ?? {});
    }

    /** Whether the store has these counts. */
    isSaved(windows: readonly WindowCounts[]): boolean {
        return JSON.stringify(windows) === this.savedText;
    }

    /**
     * Saves the counts of some windows, and deletes those of an old window.
     *
     * @param windows - windows and their counts, the current window last
     * @returns false if another write came first, so that they have to be saved again
     * @throws StoreError if it is not known whether they were saved
     */
    *save(windows: readonly WindowCounts[]): Task<boolean> {
        const writes = windows.map(({ window, counts }) => ({
            table,
            key: formatWindowKey(window),
            condition: this.conditions.get(window) ?? { kind: "absent" } as const,
            value: { [allProcesses]: counts },
        }));
        const oldKey = formatWindowKey(windows.at(-1)!.window - this.options.retainedWindows);
        const deletion = { table, key: oldKey, condition: { kind: "any" } as const, value: undefined };
        this.savedText = "";
        const outcome = yield* waitFor(this.options.tables.transact([...writes, deletion]));
        if (outcome.kind === "conflict") {
            yield* this.readConditions(windows);
            return false;
        }
        this.conditions.clear();
        windows.forEach(({ window }, index) =>
            this.conditions.set(window, { kind: "revision", revision: outcome.revisions[index] })
        );
        this.savedText = JSON.stringify(windows);
        return true;
    }

    private *readConditions(windows: readonly WindowCounts[]): Task<void> {
        const addresses = windows.map(({ window }) => ({ table, key: formatWindowKey(window) }));
        const rows = yield* waitFor(this.options.tables.read(addresses));
        windows.forEach(({ window }, index) => this.conditions.set(window, toCondition(rows[index])));
    }
}

const toCondition = (row: Row | undefined): RowCondition =>
    row ? { kind: "revision", revision: row.revision } : { kind: "absent" };

/** Sums saved counts by process; earlier versions saved them for each process. */
const sumProcesses = (processes: Readonly<Record<string, UsageCounts>>): UsageCounts => {
    const sum = new Map<string, number>();
    for (const [account, count] of Object.values(processes).flatMap(counts => Object.entries(counts))) {
        sum.set(account, (sum.get(account) ?? 0) + count);
    }
    return Object.fromEntries(sum);
};
