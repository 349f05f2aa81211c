import { listOddValues } from "../../standins/platform/listOddValues";
import { parseStoredValue } from "../../standins/platform/parseStoredValue";
import type { ClusterClock } from "../feeds/ClusterClock";
import { StoreEra } from "../feeds/StoreEra";
import { FakeClock } from "../kernel/FakeClock";
import type { Lease } from "../leases/Lease";
import { MemoryTableService } from "../platform/MemoryTableService";
import { EventLog } from "../telemetry/EventLog";
import type { UsageReport } from "./types";
import { UsageLedger } from "./UsageLedger";
import { UsageReporter } from "./UsageReporter";

const windowMs = 5_000;
const window = 1_000_000 / windowMs;
const key = String(window).padStart(12, "0");
const held = { fencing: 1, remainingMs: 2_000 };

const toRowCases = (sound: Record<string, unknown>): [name: string, value: unknown][] =>
    listOddValues(sound).map(({ name, bytes }) => [name, parseStoredValue(bytes) ?? null]);

const savedCounts = toRowCases({ all: { alpha: 1 } }).concat(
    toRowCases({ alpha: 1 }).map(([name, value]): [string, unknown] => [`all.${name}`, { all: value }]),
);
const reports = toRowCases({ alpha: 1 });
const eras = toRowCases({ era: 1 });
const firstWindows = toRowCases({ era: 1, window });
/** Values that hold counts, if of no request or of no account. */
const sound = ["empty object", "alpha: missing", "object without a text form"];

describe("odd rows of usage", () => {
    const sent: UsageReport[] = [];
    let isRefused = false;

    /** Counts three requests, starts a holder after a delay, and returns the reports of the window that the cloud received. */
    const collectReports = async (
        table: string,
        rowKey: string,
        value: unknown,
        startDelayMs = 0,
    ): Promise<UsageReport[]> => {
        const clock = new FakeClock();
        const tables = new MemoryTableService();
        const storeEra = new StoreEra();
        storeEra.observe(1);
        sent.length = 0;
        tables.commit([{ table, key: rowKey, condition: { kind: "any" }, value }]);
        const clusterClock = { readMs: () => clock.readWallMs() } as ClusterClock;
        const sums = { registerContributor: () => {}, readOthers: () => new Map<string, number>() };
        const ledger = new UsageLedger({ clusterClock, sums, windowMs });
        const reporter = new UsageReporter({
            ledger,
            clusterClock,
            lease: {
                isHolder: () => true,
                readHeld: () => held,
                readHeldFor: () => held,
            } as unknown as Lease,
            cloud: {
                reportUsage: async (report: UsageReport) => {
                    sent.push(report);
                    isRefused = !Object.values(report.counts).every(count => Number.isInteger(count));
                    if (isRefused) {
                        throw new Error("status 400");
                    }
                },
                orderUpstreams: async () => true,
            },
            tables,
            storeEra,
            clock,
            events: new EventLog({ node: "n", clock }),
            dueMs: 10_000,
            callTimeoutMs: 800,
        });
        Array.from({ length: 3 }).forEach(() => ledger.recordRequest("alpha"));
        await clock.advance(startDelayMs);
        await reporter.start();
        await clock.advance(windowMs + 2_500);
        await reporter.stop();
        return sent.filter(report => report.window === window);
    };

    // Guards against a duty that does not begin while a saved row of another writer is in its windows.
    it.each(savedCounts)(
        "do not keep a new holder from reporting: saved counts, %s",
        async (_name, value) => {
            const [report] = await collectReports("usage-counts", key, value);
            expect(report?.counts.alpha).toBeGreaterThanOrEqual(3);
            expect(isRefused).toBe(false);
        },
    );

    // Guards against counts of another type that are sent to the cloud, which refuses them until the report is overdue.
    it.each(reports.filter(([name]) => !sound.includes(name)))(
        "are replaced by the report: stored report, %s",
        async (_name, value) => {
            expect(await collectReports("usage-reports", key, value)).toEqual([{
                window,
                counts: { alpha: 3 },
            }]);
        },
    );

    // Guards against windows that are left out, for good, by a first window of another writer.
    it.each(firstWindows)(
        "leave no window out: first window, %s",
        async (_name, value) => {
            const [report] = await collectReports("usage-reports", "first-window", value, windowMs + 100);
            expect(report?.counts).toEqual({ alpha: 3 });
        },
    );

    // Guards against windows that are left out because the era of the reports cannot be read.
    it.each(eras.filter(([, value]) => typeof value !== "number"))(
        "leave no window out: era, %s",
        async (_name, value) => {
            const [report] = await collectReports("usage-reports", "era", value, windowMs + 100);
            expect(report?.counts).toEqual({ alpha: 3 });
        },
    );
});
