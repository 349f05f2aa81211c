import { FakeClock } from "../kernel/FakeClock";
import type { Lease } from "../leases/Lease";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { UpstreamOrder } from "../platform/types";
import type { ServingState } from "../routes/ServingState";
import { EventLog } from "../telemetry/EventLog";
import { InstanceScaler } from "./InstanceScaler";

interface Listed {
    readonly dataCentre: string;
    readonly market: string;
}

class Setup {
    readonly clock = new FakeClock();
    readonly orders: UpstreamOrder[] = [];
    listed: Listed[] = [];
    inFlight = 0;
    limited = 0;
    isHolder = true;
    readonly refusingDataCentres = new Set<string>();
    readonly scaler: InstanceScaler;

    constructor() {
        const held = { fencing: 4, remainingMs: 2_000 };
        const scaling = {
            min: 1,
            max: 4,
            bootMs: 4_000,
            reclaimablePriceRatio: 0.2,
            prices: { a: 1, b: 0.5 },
        };
        const services = [{
            name: "llm",
            maxConnections: 10,
            engine: { slots: 10, kvCacheTokens: 1 },
            scaling,
        }];
        this.scaler = new InstanceScaler({
            lease: {
                readHeldFor: () => this.isHolder ? held : undefined,
                isHolder: () => this.isHolder,
                readHeld: () => this.isHolder ? held : undefined,
            } as unknown as Lease,
            cloud: {
                reportUsage: async () => {},
                orderUpstreams: async (order: UpstreamOrder) => {
                    this.orders.push(order);
                    return !(order.market === "reclaimable"
                        && this.refusingDataCentres.has(order.dataCentre));
                },
            },
            state: { table: { value: { configuration: { services } } } } as unknown as ServingState,
            instances: {
                countInFlight: () => this.inFlight,
                countLimited: () => this.limited,
                listInService: () => this.listed.map(instance => ({ instance })),
            } as unknown as InstanceRegistry,
            clock: this.clock,
            events: new EventLog({ node: "n", clock: this.clock }),
            callTimeoutMs: 800,
        });
    }

    /** Counts the reclaimable upstreams of the last orders. */
    countOrdered(): number {
        return ["a", "b"].reduce((sum, name) => sum + (this.findLastCount(name, "reclaimable") ?? 0), 0);
    }

    /** Sets the listed upstreams by data centre and market. */
    listUpstreams(counts: Record<string, Partial<Record<string, number>>>): void {
        this.listed = Object.entries(counts).flatMap(([dataCentre, markets]) =>
            Object.entries(markets).flatMap(([market, count]) =>
                Array.from({ length: count! }, () => ({ dataCentre, market }))
            )
        );
    }

    /** Finds the count of the last order for a data centre and market. */
    findLastCount(dataCentre: string, market: string): number | undefined {
        return this.orders.filter(order => order.dataCentre === dataCentre && order.market === market).at(-1)
            ?.count;
    }
}

describe("InstanceScaler", () => {
    let setup: Setup;
    beforeEach(async () => {
        setup = new Setup();
        await setup.scaler.start();
    });
    afterEach(() => setup.scaler.stop());

    it("keeps on-demand upstreams until their reclaimable replacements serve", async () => {
        setup.listUpstreams({ a: { "on-demand": 1 }, b: { "on-demand": 1 } });
        await setup.clock.advance(1_000);
        expect([setup.findLastCount("a", "reclaimable"), setup.findLastCount("a", "on-demand")]).toEqual([
            1,
            1,
        ]);
        setup.listUpstreams({ a: { "on-demand": 1, "reclaimable": 1 }, b: { "on-demand": 1 } });
        await setup.clock.advance(30_000);
        expect([setup.findLastCount("a", "on-demand"), setup.findLastCount("b", "on-demand")]).toEqual([
            0,
            1,
        ]);
    });

    it("orders on-demand upstreams when reclaimable ones are reclaimed and no others are available", async () => {
        setup.listUpstreams({ a: { "reclaimable": 1 }, b: { "reclaimable": 1 } });
        await setup.clock.advance(1_000);
        setup.refusingDataCentres.add("a");
        setup.listUpstreams({ b: { "reclaimable": 1 } });
        await setup.clock.advance(500);
        expect(setup.findLastCount("a", "on-demand")).toBe(1);
        await setup.clock.advance(20_000);
        expect(setup.findLastCount("a", "on-demand")).toBe(1);
        setup.refusingDataCentres.clear();
        await setup.clock.advance(10_000);
        expect(setup.findLastCount("a", "reclaimable")).toBe(1);
        setup.listUpstreams({ a: { "on-demand": 1, "reclaimable": 1 }, b: { "reclaimable": 1 } });
        await setup.clock.advance(1_000);
        expect(setup.findLastCount("a", "on-demand")).toBe(0);
    });

    it("orders reclaimable upstreams again immediately when they were reclaimed and others are available", async () => {
        setup.listUpstreams({ a: { "reclaimable": 1 }, b: { "reclaimable": 1 } });
        await setup.clock.advance(1_000);
        const before = setup.orders.length;
        setup.listUpstreams({ b: { "reclaimable": 1 } });
        await setup.clock.advance(500);
        expect(setup.orders.slice(before)).toEqual([
            { service: "llm", dataCentre: "a", market: "reclaimable", count: 1 },
        ]);
    });

    it("scales up immediately and scales down after the peak window", async () => {
        await setup.clock.advance(1_000);
        setup.inFlight = 12;
        await setup.clock.advance(1_000);
        expect(setup.findLastCount("b", "reclaimable")).toBe(3);
        setup.inFlight = 0;
        await setup.clock.advance(10_000);
        expect(setup.findLastCount("b", "reclaimable")).toBe(3);
        await setup.clock.advance(15_000);
        expect(setup.findLastCount("b", "reclaimable")).toBe(1);
    });

    it("orders others in place of upstreams that state a limit, and keeps them for the peak window", async () => {
        setup.listUpstreams({ a: { "reclaimable": 1 }, b: { "reclaimable": 1 } });
        setup.inFlight = 4;
        await setup.clock.advance(1_000);
        const before = setup.countOrdered();
        setup.limited = 2;
        await setup.clock.advance(500);
        const during = setup.countOrdered();
        expect(during).toBeGreaterThan(before);
        setup.limited = 0;
        await setup.clock.advance(15_000);
        expect(setup.countOrdered()).toBe(during);
        await setup.clock.advance(10_000);
        expect(setup.countOrdered()).toBe(before);
    });

    it("releases no upstreams before it has observed the load for a whole peak window", async () => {
        setup.listUpstreams({ a: { "reclaimable": 3 }, b: { "reclaimable": 3 } });
        await setup.clock.advance(10_000);
        expect([setup.findLastCount("a", "reclaimable"), setup.findLastCount("b", "reclaimable")]).toEqual([
            3,
            3,
        ]);
        await setup.clock.advance(15_000);
        expect([setup.findLastCount("a", "reclaimable"), setup.findLastCount("b", "reclaimable")]).toEqual([
            1,
            1,
        ]);
    });

    it("sends no order without the lease", async () => {
        setup.isHolder = false;
        await setup.clock.advance(5_000);
        expect(setup.orders).toEqual([]);
    });
});
