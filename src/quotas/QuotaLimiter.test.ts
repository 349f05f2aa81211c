import { FakeClock } from "../kernel/FakeClock";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { ServedAccount } from "../routes/types";
import { QuotaLimiter } from "./QuotaLimiter";

const account: ServedAccount = {
    name: "alpha",
    keys: [],
    quota: { unit: "tokens", ratePerS: 1_000, burst: 2_000, defaultCost: 200 },
};

/** Fake peer reports that are delivered only when {@link exchange} is called, as on a network with delay. */
class FakeReports {
    private readonly nodes: { read: () => unknown; onReceived: (node: string, value: never) => void; }[] = [];
    create(): PeerReports {
        return {
            exchange: <T>(
                _topic: ReportTopic<T>,
                read: () => T,
                onReceived: (node: string, value: T) => void,
            ) => this.nodes.push({ read, onReceived }),
        } as unknown as PeerReports;
    }

    /**
     * Delivers a report of each node to all other nodes on its side of the partition.
     *
     * @param cutOff - number of nodes, from the first, that are partitioned from the rest; default none
     */
    exchange(cutOff = 0): void {
        const values = this.nodes.map(node => node.read());
        const isReached = (from: number, to: number): boolean =>
            from !== to && (from < cutOff) === (to < cutOff);
        this.nodes.forEach((node, index) =>
            values.forEach((value, other) =>
                isReached(other, index) && node.onReceived(String(other), value as never)
            )
        );
    }
}

const windowMs = 8_000;
const limit = 1_000 * 8 + 2_000;
const tickMs = 250;

interface Granted {
    readonly atMs: number;
    readonly cost: number;
}

const createLimiters = async (
    count: number,
    clock: FakeClock,
    reports: FakeReports,
): Promise<QuotaLimiter[]> => {
    const limiters = Array.from({ length: count }, (_unused, index) =>
        new QuotaLimiter({
            clock,
            reports: reports.create(),
            processId: `process-${index}`,
            countNodes: () => count,
            findQuota: () => account.quota,
            windowMs,
        }));
    await Promise.all(limiters.map(limiter => limiter.start()));
    reports.exchange();
    return limiters;
};

/** Creates limiters that have run for a whole window, so no use before their start is assumed any more. */
const createSettled = async (
    count: number,
    clock: FakeClock,
    reports = new FakeReports(),
): Promise<QuotaLimiter[]> => {
    const limiters = await createLimiters(count, clock, reports);
    await clock.advance(windowMs);
    return limiters;
};

/** Requests the same cost from every limiter at each tick and records what was granted. */
const askAll = async (
    limiters: readonly QuotaLimiter[],
    clock: FakeClock,
    options: { cost: number; ticks: number; afterTick: () => void; account?: ServedAccount; },
): Promise<Granted[]> => {
    const granted: Granted[] = [];
    for (let tick = 0; tick < options.ticks; tick += 1) {
        for (const limiter of limiters) {
            if (limiter.acquire(options.account ?? account, options.cost).kind === "granted") {
                granted.push({ atMs: clock.readMonotonicMs(), cost: options.cost });
            }
        }
        options.afterTick();
        await clock.advance(tickMs);
    }
    return granted;
};

const sumWindow = (granted: readonly Granted[], fromMs: number): number =>
    granted.filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + windowMs)
        .reduce((sum, { cost }) => sum + cost, 0);

const findMostInWindow = (granted: readonly Granted[]): number =>
    Math.max(...granted.map(({ atMs }) => sumWindow(granted, atMs)));

describe("QuotaLimiter", () => {
    let clock: FakeClock;
    beforeEach(() => {
        clock = new FakeClock();
    });

    it("grants nearly the whole limit, and beyond it only what is granted before reports arrive", async () => {
        const reports = new FakeReports();
        const limiters = await createSettled(4, clock, reports);
        const afterTick = (): void => reports.exchange();
        const granted = await askAll(limiters, clock, { cost: 400, ticks: 120, afterTick });
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit + 4 * 400);
        const lastFullMs = clock.readMonotonicMs() - windowMs;
        expect(sumWindow(granted, lastFullMs)).toBeGreaterThan(limit * 0.9);
    });

    it("lets one node use the whole quota if the others have no demand", async () => {
        const reports = new FakeReports();
        const [busy] = await createSettled(8, clock, reports);
        const afterTick = (): void => reports.exchange();
        const granted = await askAll([busy], clock, { cost: limit / 16, ticks: 16, afterTick });
        expect(granted).toHaveLength(16);
        expect(busy.acquire(account, 500)).toMatchObject({ kind: "exceeded" });
    });

    it("keeps nodes that receive no reports within the quota together", async () => {
        const reports = new FakeReports();
        const limiters = await createSettled(4, clock, reports);
        const granted = await askAll(limiters, clock, { cost: 100, ticks: 120, afterTick: () => {} });
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit * 1.1);
    });

    it("stays within the quota when nodes are partitioned under load", async () => {
        const reports = new FakeReports();
        const limiters = await createSettled(8, clock, reports);
        const tickShare = limit / 8 / 8; // the limit is reached after two seconds
        const askFor = async (ticks: number, cutOff: number): Promise<Granted[]> =>
            askAll(limiters, clock, { cost: tickShare, ticks, afterTick: () => reports.exchange(cutOff) });
        const before = await askFor(5, 0);
        const granted = [...before, ...await askFor(40, 2)];
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit * 1.1);
    });

    it("stays within the quota after nodes were killed that had just used much of it", async () => {
        const reports = new FakeReports();
        const limiters = await createSettled(8, clock, reports);
        const [killed, living] = [limiters.slice(0, 4), limiters.slice(4)];
        const afterTick = (): void => reports.exchange();
        const before = await askAll(killed, clock, { cost: limit / 16, ticks: 4, afterTick });
        const after = await askAll(living, clock, {
            cost: 200,
            ticks: 60,
            afterTick: () => reports.exchange(4),
        });
        expect(findMostInWindow([...before, ...after])).toBeLessThanOrEqual(limit * 1.1);
    });

    it("releases the cost of a request that did not run", async () => {
        const [limiter] = await createSettled(1, clock);
        const grant = limiter.acquire(account, limit);
        expect(limiter.acquire(account, 100).kind).toBe("exceeded");
        limiter.release(account.name, grant.kind === "granted" ? grant.cost : 0);
        expect(limiter.acquire(account, 100).kind).toBe("granted");
    });

    it("counts earlier use as the same share of a lowered limit, and returns a retry delay", async () => {
        const [limiter] = await createSettled(1, clock);
        limiter.acquire(account, limit / 2);
        const lowered = { ...account, quota: { ...account.quota!, ratePerS: 10, burst: 20 } };
        expect(limiter.readRemaining(lowered)).toBeCloseTo(50);
        expect(limiter.acquire(lowered, 60).kind).toBe("granted");
        const refused = limiter.acquire(lowered, 60);
        expect(refused).toMatchObject({ kind: "exceeded" });
        expect(refused.kind === "exceeded" && refused.retryAfterMs > 0).toBe(true);
    });

    it("assumes that a new process used the rate and half of the burst before its start", async () => {
        const limiters = await createLimiters(4, clock, new FakeReports());
        expect(limiters[0].readRemaining(account)).toBeCloseTo(account.quota!.burst / 2);
    });

    it("counts the use of an ended process for one window", async () => {
        const reports = new FakeReports();
        const [ended, other] = await createSettled(2, clock, reports);
        ended.acquire(account, limit / 2);
        reports.exchange();
        await clock.advance(windowMs - 1);
        expect(other.readRemaining(account)).toBeCloseTo(limit / 2);
        await clock.advance(1);
        expect(other.readRemaining(account)).toBeCloseTo(limit);
    });

    it("grants no fraction of a request if the unit is requests", async () => {
        const quota = { unit: "requests", ratePerS: 1, burst: 2, defaultCost: 1 } as const;
        const [limiter] = await createSettled(1, clock);
        const counted = { ...account, quota };
        const grants = Array.from({ length: 12 }, () => limiter.acquire(counted, undefined).kind);
        expect(grants.filter(kind => kind === "granted")).toHaveLength(10);
    });
});
