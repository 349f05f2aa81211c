import { FakeClock } from "../kernel/FakeClock";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { ServedAccount } from "../routes/types";
import { QuotaLimiter } from "./QuotaLimiter";

const account: ServedAccount = {
    name: "alpha",
    keys: [],
    quota: { unit: "tokens", ratePerS: 1_000, burst: 2_000, plainCost: 200 },
};

/** Reports between limiters that are told when {@link exchange} is called, as a late network would. */
class FakeReports {
    private readonly nodes: { read: () => unknown; onReceived: (node: string, value: never) => void; }[] = [];
    heard = 0;

    create(): PeerReports {
        return {
            exchange: <T>(
                _topic: ReportTopic<T>,
                read: () => T,
                onReceived: (node: string, value: T) => void,
            ) => this.nodes.push({ read, onReceived }),
            listFresh: () => Array.from({ length: this.heard }),
        } as unknown as PeerReports;
    }

    exchange(): void {
        const values = this.nodes.map(node => node.read());
        this.nodes.forEach((node, index) =>
            values.forEach((value, other) =>
                other !== index && node.onReceived(String(other), value as never)
            )
        );
        this.heard = this.nodes.length - 1;
    }
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
        }));
    await Promise.all(limiters.map(limiter => limiter.start()));
    reports.exchange();
    return limiters;
};

describe("QuotaLimiter", () => {
    it("grants over all nodes what the rate and the burst allow, and what is granted before nodes hear", async () => {
        const clock = new FakeClock();
        const reports = new FakeReports();
        const limiters = await createLimiters(4, clock, reports);
        let granted = 0;
        const seconds = 10;
        const ticksPerS = 4;
        for (let tick = 0; tick < seconds * ticksPerS; tick += 1) {
            for (const limiter of limiters) {
                const grant = limiter.take(account, 400);
                granted += grant.kind === "granted" ? grant.cost : 0;
            }
            reports.exchange();
            await clock.advance(1_000 / ticksPerS);
        }
        const allowed = 1_000 * seconds + 2_000;
        expect(granted).toBeGreaterThan(allowed * 0.9);
        expect(granted).toBeLessThanOrEqual(allowed + 4 * 400);
    });

    it("lets one node use the whole quota while the others have no demand", async () => {
        const clock = new FakeClock();
        const [busy] = await createLimiters(8, clock, new FakeReports());
        const grants = [1, 2, 3, 4].map(() => busy.take(account, 500).kind);
        expect(grants).toEqual(["granted", "granted", "granted", "granted"]);
        expect(busy.take(account, 500)).toMatchObject({ kind: "exceeded" });
    });

    it("keeps nodes that do not hear each other within the quota together", async () => {
        const clock = new FakeClock();
        const reports = new FakeReports();
        const limiters = await createLimiters(4, clock, reports);
        reports.heard = 0;
        let granted = 0;
        for (let tick = 0; tick < 100; tick += 1) {
            for (const limiter of limiters) {
                const grant = limiter.take(account, 100);
                granted += grant.kind === "granted" ? grant.cost : 0;
            }
            await clock.advance(100);
        }
        expect(granted).toBeLessThanOrEqual((1_000 * 10 + 2_000) * 1.1);
    });

    it("gives back the cost of a request that did not run", async () => {
        const clock = new FakeClock();
        const [limiter] = await createLimiters(1, clock, new FakeReports());
        const grant = limiter.take(account, 2_000);
        expect(limiter.take(account, 100).kind).toBe("exceeded");
        limiter.giveBack(account.name, grant.kind === "granted" ? grant.cost : 0);
        expect(limiter.take(account, 100).kind).toBe("granted");
    });

    it("binds a lowered burst at once and names a time to come back", async () => {
        const clock = new FakeClock();
        const [limiter] = await createLimiters(1, clock, new FakeReports());
        limiter.take(account, 100);
        const lowered = { ...account, quota: { ...account.quota!, ratePerS: 10, burst: 50 } };
        expect(limiter.take(lowered, 60).kind).toBe("granted");
        const refused = limiter.take(lowered, 60);
        expect(refused).toMatchObject({ kind: "exceeded" });
        expect(refused.kind === "exceeded" && refused.retryAfterMs > 0).toBe(true);
    });
});
