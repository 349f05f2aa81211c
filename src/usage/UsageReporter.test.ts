import { LateTableService } from "../../standins/LateTableService";
import { FakeClock } from "../kernel/FakeClock";
import type { ClusterClock } from "../feeds/ClusterClock";
import { StoreEra } from "../feeds/StoreEra";
import type { Lease } from "../leases/Lease";
import { MemoryTableService } from "../platform/MemoryTableService";
import type { TableService } from "../platform/types";
import { EventLog } from "../telemetry/EventLog";
import type { UsageReport } from "./types";
import { UsageLedger } from "./UsageLedger";
import { UsageReporter } from "./UsageReporter";

const windowMs = 5_000;

interface Setup {
    readonly ledger: UsageLedger;
    readonly reporter: UsageReporter;
    readonly sent: UsageReport[];
    isHolder: boolean;
    isCloudDown: boolean;
}

const createSetup = (
    processId: string,
    clock: FakeClock,
    tables: TableService,
    storeEra?: StoreEra,
): Setup => {
    const clusterClock = { readMs: () => clock.readWallMs() } as ClusterClock;
    const sums = { registerContributor: () => {}, readOthers: () => new Map<string, number>() };
    const ledger = new UsageLedger({ clusterClock, sums, windowMs });
    const setup: Setup = { ledger, sent: [], isHolder: true, isCloudDown: false } as unknown as Setup;
    const held = { fencing: 1, remainingMs: 2_000 };
    const reporter = new UsageReporter({
        ledger,
        clusterClock,
        lease: {
            isHolder: () => setup.isHolder,
            readHeld: () => setup.isHolder ? held : undefined,
            readHeldFor: () => setup.isHolder ? held : undefined,
        } as unknown as Lease,
        cloud: {
            reportUsage: async (report: UsageReport) => {
                setup.sent.push(report);
                if (setup.isCloudDown) {
                    throw new Error("no answer");
                }
            },
            orderUpstreams: async () => true,
        },
        tables,
        storeEra,
        clock,
        events: new EventLog({ node: processId, clock }),
        dueMs: 10_000,
        callTimeoutMs: 800,
    });
    return Object.assign(setup, { reporter });
};

const recordRequests = (ledger: UsageLedger, account: string, times: number): void => {
    Array.from({ length: times }).forEach(() => ledger.recordRequest(account));
};

describe("UsageReporter", () => {
    it("reports each window once, after its end", async () => {
        const clock = new FakeClock();
        const { ledger, reporter, sent } = createSetup("a", clock, new MemoryTableService());
        await reporter.start();
        recordRequests(ledger, "alpha", 3);
        await clock.advance(windowMs + 2_500);
        const window = 1_000_000 / windowMs;
        expect(sent.filter(report => report.window === window)).toEqual([{ window, counts: { alpha: 3 } }]);
        await reporter.stop();
    });

    it("repeats an unanswered report with identical counts, also under another lease holder", async () => {
        const clock = new FakeClock();
        const tables = new MemoryTableService();
        const first = createSetup("a", clock, tables);
        await first.reporter.start();
        recordRequests(first.ledger, "alpha", 3);
        await clock.advance(2_000);
        first.isCloudDown = true;
        await clock.advance(windowMs + 2_500);
        await first.reporter.stop();
        const second = createSetup("b", clock, tables);
        recordRequests(second.ledger, "beta", 1);
        await second.reporter.start();
        await clock.advance(1_500);
        await second.reporter.stop();
        const window = 1_000_000 / windowMs;
        const all = [...first.sent, ...second.sent].filter(report => report.window === window);
        expect(all.length).toBeGreaterThan(1);
        expect(new Set(all.map(report => JSON.stringify(report.counts)))).toEqual(new Set(["{\"alpha\":3}"]));
    });

    it("recovers the counts saved up to one second before all nodes were killed", async () => {
        const clock = new FakeClock();
        const tables = new MemoryTableService();
        const first = createSetup("a", clock, tables);
        await first.reporter.start();
        recordRequests(first.ledger, "alpha", 7);
        await clock.advance(2_000);
        await first.reporter.stop();
        const second = createSetup("b", clock, tables);
        await second.reporter.start();
        await clock.advance(1_000);
        recordRequests(second.ledger, "alpha", 2);
        await clock.advance(windowMs);
        await second.reporter.stop();
        const window = 1_000_000 / windowMs;
        expect(second.sent.find(report => report.window === window)?.counts).toEqual({ alpha: 9 });
    });

    describe("with counts that are saved late", () => {
        const window = 1_000_000 / windowMs;
        let clock: FakeClock;
        let tables: LateTableService;
        let first: Setup;

        /** Counts three requests and saves them without an answer. */
        beforeEach(async () => {
            clock = new FakeClock();
            tables = new LateTableService();
            first = createSetup("a", clock, tables);
            recordRequests(first.ledger, "alpha", 3);
            await first.reporter.start();
            tables.lateTable = "usage-counts";
            await clock.advance(900);
            tables.lateTable = undefined;
            expect(tables.lateCount).toBe(1);
        });

        const findNextReport = async (): Promise<UsageReport | undefined> => {
            const second = createSetup("b", clock, tables);
            await second.reporter.start();
            await clock.advance(windowMs);
            await second.reporter.stop();
            return second.sent.find(report => report.window === window);
        };

        it("does not let them replace those that were saved later", async () => {
            recordRequests(first.ledger, "alpha", 4);
            await clock.advance(2_500);
            tables.commitLate();
            await first.reporter.stop();
            expect((await findNextReport())?.counts).toEqual({ alpha: 7 });
        });

        it("saves later counts over them", async () => {
            tables.commitLate();
            recordRequests(first.ledger, "alpha", 4);
            await clock.advance(2_500);
            await first.reporter.stop();
            expect((await findNextReport())?.counts).toEqual({ alpha: 7 });
        });

        it("does not let those of a former holder replace them", async () => {
            await first.reporter.stop();
            const second = createSetup("b", clock, tables);
            recordRequests(second.ledger, "alpha", 9);
            await second.reporter.start();
            await clock.advance(2_000);
            tables.commitLate();
            await second.reporter.stop();
            expect((await findNextReport())?.counts).toEqual({ alpha: 9 });
        });
    });

    describe("after the store was restored from an older copy", () => {
        const window = 1_000_000 / windowMs;
        let clock: FakeClock;
        let tables: MemoryTableService;
        let storeEra: StoreEra;
        let first: Setup;

        /** Reports one window, and then restores the store to its state before the report. */
        beforeEach(async () => {
            clock = new FakeClock();
            tables = new MemoryTableService();
            storeEra = new StoreEra();
            storeEra.observe(1);
            first = createSetup("a", clock, tables, storeEra);
            await first.reporter.start();
            recordRequests(first.ledger, "alpha", 3);
            await clock.advance(windowMs);
            const copy = tables.takeCopy();
            await clock.advance(2_500);
            expect(first.sent.map(report => report.window)).toContain(window);
            tables.restore(copy);
            storeEra.observe(2);
        });

        const listSent = (...setups: Setup[]): string[] =>
            setups.flatMap(setup => setup.sent)
                .filter(report => report.window === window)
                .map(report => JSON.stringify(report.counts));

        it("stores its reports again, which a later holder repeats", async () => {
            await clock.advance(1_000);
            await first.reporter.stop();
            const second = createSetup("b", clock, tables, storeEra);
            recordRequests(second.ledger, "beta", 1);
            await second.reporter.start();
            await clock.advance(1_000);
            await second.reporter.stop();
            expect(new Set(listSent(first, second))).toEqual(new Set(["{\"alpha\":3}"]));
        });

        it("leaves out the windows that a former holder may have reported", async () => {
            first.isHolder = false; // killed before it could store them again
            await first.reporter.stop();
            const second = createSetup("b", clock, tables, storeEra);
            await second.reporter.start();
            await clock.advance(windowMs + 2_000);
            await second.reporter.stop();
            expect(listSent(first, second)).toEqual(["{\"alpha\":3}"]);
            expect(second.sent.map(report => report.window)).toContain(window + 1);
        });

        it("leaves them out also when the store has lost the era of the reports", async () => {
            first.isHolder = false;
            await first.reporter.stop();
            tables.restore(new Map());
            const second = createSetup("b", clock, tables, storeEra);
            await second.reporter.start();
            await clock.advance(windowMs + 2_000);
            await second.reporter.stop();
            expect(listSent(first, second)).toEqual(["{\"alpha\":3}"]);
            expect(second.sent.map(report => report.window)).toContain(window + 1);
        });

        it("leaves them out also as the second new holder", async () => {
            first.isHolder = false;
            await first.reporter.stop();
            const second = createSetup("b", clock, tables, storeEra);
            await second.reporter.start();
            await clock.advance(1_000);
            await second.reporter.stop();
            const third = createSetup("c", clock, tables, storeEra);
            await third.reporter.start();
            await clock.advance(windowMs + 2_000);
            await third.reporter.stop();
            expect(listSent(first, second, third)).toEqual(["{\"alpha\":3}"]);
            expect(third.sent.map(report => report.window)).toContain(window + 1);
        });

        it("leaves them out also when it could not read the saved counts at first", async () => {
            first.isHolder = false;
            await first.reporter.stop();
            const read = tables.read.bind(tables);
            jest.spyOn(tables, "read").mockImplementationOnce(read).mockRejectedValueOnce(
                new Error("no answer"),
            );
            const second = createSetup("b", clock, tables, storeEra);
            await second.reporter.start();
            await clock.advance(windowMs + 2_000);
            await second.reporter.stop();
            expect(listSent(first, second)).toEqual(["{\"alpha\":3}"]);
        });

        it("writes nothing when the lease was lost while it took the duty over", async () => {
            first.isHolder = false;
            await first.reporter.stop();
            const second = createSetup("b", clock, tables, storeEra);
            const read = tables.read.bind(tables);
            jest.spyOn(tables, "read").mockImplementationOnce(async addresses => {
                second.isHolder = false;
                return read(addresses);
            });
            const rowsWritten = tables.rowsWritten;
            await second.reporter.start();
            await clock.advance(windowMs);
            await second.reporter.stop();
            expect(tables.rowsWritten).toBe(rowsWritten);
        });
    });
});
