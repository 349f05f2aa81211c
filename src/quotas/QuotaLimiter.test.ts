import { FakeClock } from "../kernel/FakeClock";
import type { ServedAccount } from "../routes/types";
import type { ClusterSums } from "../sums/ClusterSums";
import { SumState } from "../sums/SumState";
import { type QuotaDecision, QuotaLimiter, usedGroup } from "./QuotaLimiter";

const account: ServedAccount = {
    name: "alpha",
    keys: [],
    quota: { unit: "tokens", ratePerS: 1_000, burst: 2_000, defaultCost: 200 },
};

type Sums = Pick<ClusterSums, "registerContributor" | "readOthers" | "listCovered" | "intervalMs">;

/** Sums that are exchanged only when {@link exchange} is called, as on a network with delay. */
class FakeSums {
    private readonly nodes: {
        state: SumState;
        contributors: Map<string, () => ReadonlyMap<string, number>>;
    }[] = [];

    constructor(private readonly clock: FakeClock) {}

    create(): Sums {
        const processId = `process-${this.nodes.length}`;
        const state = new SumState({
            processId,
            dataCentre: "a",
            lingerMsByGroup: { [usedGroup]: windowMs },
        });
        state.setRole(true);
        const contributors = new Map<string, () => ReadonlyMap<string, number>>();
        this.nodes.push({ state, contributors });
        return {
            registerContributor: (group, read) => void contributors.set(group, read),
            readOthers: group => {
                const nowMs = this.clock.readMonotonicMs();
                state.expire(nowMs - staleMs, nowMs);
                const named = [...state.sumOthers()].filter(([name]) => name.startsWith(`${group}/`));
                return new Map(named.map(([name, value]) => [name.slice(group.length + 1), value]));
            },
            listCovered: () => state.listCovered(),
            intervalMs: tickMs,
        };
    }

    /**
     * Delivers a contribution of each node to all other nodes on its side of the partition.
     *
     * @param cutOff - number of nodes, from the first, that are partitioned from the rest; default none
     * @param areSuspended - whether these do not hear each other either; default false
     */
    exchange(cutOff = 0, areSuspended = false): void {
        const nowMs = this.clock.readMonotonicMs();
        const isReached = (from: number, to: number): boolean =>
            from !== to && (from < cutOff) === (to < cutOff) && !(areSuspended && from < cutOff);
        this.nodes.forEach(({ state, contributors }) =>
            state.setOwn(
                new Map([...contributors].flatMap(([group, read]) =>
                    [...read()].map(([name, value]) => [`${group}/${name}`, value] as const)
                )),
            )
        );
        this.nodes.forEach(({ state }, from) =>
            this.nodes.forEach((other, to) => {
                if (isReached(from, to)) {
                    const message = state.createNodeMessage(`node-${to}`, nowMs, "nothing");
                    other.state.receiveNode(`node-${from}`, message, nowMs);
                }
            })
        );
    }
}

const staleMs = 2_000;
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
    sums: FakeSums,
): Promise<QuotaLimiter[]> => {
    const limiters = Array.from({ length: count }, () =>
        new QuotaLimiter({
            clock,
            sums: sums.create(),
            countNodes: () => count,
            windowMs,
        }));
    await Promise.all(limiters.map(limiter => limiter.start()));
    sums.exchange();
    return limiters;
};

/** Creates limiters that have run for a whole window, so no use before their start is assumed any more. */
const createSettled = async (
    count: number,
    clock: FakeClock,
    sums = new FakeSums(clock),
): Promise<QuotaLimiter[]> => {
    const limiters = await createLimiters(count, clock, sums);
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

/** Requests the same cost from every limiter once and returns what was granted. */
const grantAtOnce = (limiters: readonly QuotaLimiter[], clock: FakeClock, cost: number): Granted[] =>
    limiters.filter(limiter => limiter.acquire(account, cost).kind === "granted")
        .map(() => ({ atMs: clock.readMonotonicMs(), cost }));

const release = (decision: QuotaDecision): void => {
    if (decision.kind === "granted") {
        decision.release();
    }
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

    it("grants nearly the whole limit, and beyond it only what is granted before sums arrive", async () => {
        const sums = new FakeSums(clock);
        const limiters = await createSettled(4, clock, sums);
        const afterTick = (): void => sums.exchange();
        const granted = await askAll(limiters, clock, { cost: 400, ticks: 120, afterTick });
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit + 4 * 400);
        const lastFullMs = clock.readMonotonicMs() - windowMs;
        expect(sumWindow(granted, lastFullMs)).toBeGreaterThan(limit * 0.9);
    });

    it("lets one node use the whole quota if the others have no demand", async () => {
        const sums = new FakeSums(clock);
        const [busy] = await createSettled(8, clock, sums);
        const afterTick = (): void => sums.exchange();
        const granted = await askAll([busy], clock, { cost: limit / 16, ticks: 16, afterTick });
        expect(granted).toHaveLength(16);
        expect(busy.acquire(account, 500)).toMatchObject({ kind: "exceeded" });
    });

    it("keeps nodes that receive no sums within the quota together", async () => {
        const sums = new FakeSums(clock);
        const limiters = await createSettled(4, clock, sums);
        const granted = await askAll(limiters, clock, { cost: 100, ticks: 120, afterTick: () => {} });
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit * 1.1);
    });

    it("stays within the quota when nodes are partitioned under load", async () => {
        const sums = new FakeSums(clock);
        const limiters = await createSettled(8, clock, sums);
        const tickShare = limit / 8 / 8; // the limit is reached after two seconds
        const askFor = async (ticks: number, cutOff: number): Promise<Granted[]> =>
            askAll(limiters, clock, { cost: tickShare, ticks, afterTick: () => sums.exchange(cutOff) });
        const before = await askFor(5, 0);
        const granted = [...before, ...await askFor(40, 2)];
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit * 1.1);
    });

    it("stays within the quota after nodes were killed that had just used much of it", async () => {
        const sums = new FakeSums(clock);
        const limiters = await createSettled(8, clock, sums);
        const [killed, living] = [limiters.slice(0, 4), limiters.slice(4)];
        const afterTick = (): void => sums.exchange();
        const before = await askAll(killed, clock, { cost: limit / 16, ticks: 4, afterTick });
        const after = await askAll(living, clock, {
            cost: 200,
            ticks: 60,
            afterTick: () => sums.exchange(4),
        });
        expect(findMostInWindow([...before, ...after])).toBeLessThanOrEqual(limit * 1.1);
    });

    it("stays within the quota and its slack, and uses most of it, when many nodes share a surge of one account", async () => {
        const sums = new FakeSums(clock);
        const limiters = await createSettled(40, clock, sums);
        const tickCost = limit / 40 / 8; // the limit is reached after two seconds
        const granted = await askAll(limiters, clock, {
            cost: tickCost,
            ticks: 80,
            afterTick: () => sums.exchange(),
        });
        const slack = 40 * tickCost; // what all ask for between two exchanges
        expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit * 1.1 + slack);
        expect(sumWindow(granted, clock.readMonotonicMs() - windowMs)).toBeGreaterThan(limit * 0.8);
    });

    // Guards against nodes that grant a quota which the others have used up while they stood still.
    it.each([12, 40])(
        "stays within the quota after some of %i nodes stood still while the others used it",
        async count => {
            const sums = new FakeSums(clock);
            const limiters = await createSettled(count, clock, sums);
            const suspendedCount = count / 4;
            const suspended = limiters.slice(0, suspendedCount);
            const tickCost = limit / count / 4; // the limit is reached after one second
            const ticks = 7; // shorter than the time after which sums are stale
            sums.exchange();
            const granted = await askAll(limiters.slice(suspendedCount), clock, {
                cost: tickCost,
                ticks,
                afterTick: () => sums.exchange(suspendedCount, true),
            });
            for (let waiting = 0; waiting < ticks; waiting += 1) {
                granted.push(...grantAtOnce(suspended, clock, tickCost));
            }
            const afterTick = (): void => sums.exchange();
            granted.push(...await askAll(limiters, clock, { cost: tickCost, ticks: 40, afterTick }));
            const slack = count * tickCost; // what all ask for between two exchanges
            expect(findMostInWindow(granted)).toBeLessThanOrEqual(limit * 1.1 + slack);
        },
    );

    it("does not refuse a small account of many nodes for one large request", async () => {
        const sums = new FakeSums(clock);
        const limiters = await createSettled(40, clock, sums);
        sums.exchange();
        const answers = limiters.slice(0, 4).map(limiter => limiter.acquire(account, limit / 5).kind);
        expect(answers).toEqual(["granted", "granted", "granted", "granted"]);
        expect(limiters[0].acquire(account, limit / 5).kind).toBe("granted");
    });

    it("releases the cost of a request that did not run", async () => {
        const [limiter] = await createSettled(1, clock);
        const grant = limiter.acquire(account, limit);
        expect(limiter.acquire(account, 100).kind).toBe("exceeded");
        release(grant);
        expect(limiter.acquire(account, 100).kind).toBe("granted");
    });

    // Guards against units that are granted twice since a release counts for longer than the charge that it takes back.
    it("grants no units twice after a request was released seconds after its charge", async () => {
        const [limiter] = await createSettled(1, clock);
        const grant = limiter.acquire(account, limit);
        await clock.advance(windowMs * 0.75);
        release(grant);
        expect(limiter.acquire(account, limit).kind).toBe("granted");
        await clock.advance(windowMs * 0.5);
        expect(limiter.acquire(account, 100).kind).toBe("exceeded");
    });

    it("releases a charge once", async () => {
        const [limiter] = await createSettled(1, clock);
        limiter.acquire(account, limit / 2);
        const grant = limiter.acquire(account, limit / 4);
        release(grant);
        release(grant);
        expect(limiter.readRemaining(account)).toBeCloseTo(limit / 2);
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
        const limiters = await createLimiters(4, clock, new FakeSums(clock));
        expect(limiters[0].readRemaining(account)).toBeCloseTo(account.quota!.burst / 2);
    });

    it("counts the use of an ended process for one window", async () => {
        const sums = new FakeSums(clock);
        const [ended, other] = await createSettled(2, clock, sums);
        ended.acquire(account, limit / 2);
        sums.exchange();
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
