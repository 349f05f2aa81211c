import { FakeClock } from "../kernel/FakeClock";
import type { ClusterClock } from "../feeds/ClusterClock";
import type { Lease } from "../leases/Lease";
import { MemoryTableService } from "../platform/MemoryTableService";
import type { PeerReports } from "../peers/PeerReports";
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

const createSetup = (processId: string, clock: FakeClock, tables: MemoryTableService): Setup => {
    const clusterClock = { readMs: () => clock.readWallMs() } as ClusterClock;
    const reports = { exchange: () => {} } as unknown as PeerReports;
    const ledger = new UsageLedger({ clusterClock, reports, processId, windowMs });
    const setup: Setup = { ledger, sent: [], isHolder: true, isCloudDown: false } as unknown as Setup;
    const held = { fencing: 1, remainingMs: 2_000 };
    const reporter = new UsageReporter({
        ledger,
        clusterClock,
        lease: {
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
});
