import { FakeClock } from "../kernel/FakeClock";
import type { Lease } from "../leases/Lease";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import { StoreError } from "../platform/StoreError";
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
    /** Time after which the cloud carries out an order that it does not answer, in milliseconds; undefined if it answers. */
    lateByMs: number | undefined;
    /** Effect of an order that is not answered, as the client of the cloud knows it. */
    lostEffect: "none" | "unknown" = "unknown";
    /** Numbers of upstreams at the cloud, by data centre and market. */
    readonly carriedOut = new Map<string, number>();
    readonly scaling = {
        min: 1,
        max: 4,
        bootMs: 4_000,
        reclaimablePriceRatio: 0.2,
        prices: { a: 1, b: 0.5 },
    };
    readonly scaler: InstanceScaler;

    constructor() {
        const held = { fencing: 4, remainingMs: 2_000 };
        const { scaling } = this;
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
                orderUpstreams: (order: UpstreamOrder) => this.receive(order),
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

    private async receive(order: UpstreamOrder): Promise<boolean> {
        this.orders.push(order);
        const { dataCentre, market, count } = order;
        const carryOut = (): void => void this.carriedOut.set(`${dataCentre} ${market}`, count);
        if (this.lateByMs !== undefined) {
            void this.clock.sleep(this.lateByMs).then(this.lostEffect === "none" ? () => {} : carryOut);
            throw new StoreError("no answer", this.lostEffect);
        }
        const isAccepted = !(market === "reclaimable" && this.refusingDataCentres.has(dataCentre));
        if (isAccepted) {
            carryOut();
        }
        return isAccepted;
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

    it("orders a number again that an order without an answer may have changed", async () => {
        await setup.clock.advance(1_000);
        setup.lateByMs = 0;
        setup.scaling.min = 2;
        await setup.clock.advance(500);
        setup.lateByMs = undefined;
        setup.scaling.min = 1;
        await setup.clock.advance(1_000);
        expect(setup.carriedOut.get("b reclaimable")).toBe(1);
    });

    it("takes back upstreams that only an order without an answer has asked for", async () => {
        setup.scaling.reclaimablePriceRatio = 1;
        await setup.clock.advance(1_000);
        setup.scaling.reclaimablePriceRatio = 0.2;
        setup.lateByMs = 0;
        await setup.clock.advance(500);
        expect(setup.carriedOut.get("b reclaimable")).toBe(1);
        setup.lateByMs = undefined;
        setup.scaling.reclaimablePriceRatio = 1;
        await setup.clock.advance(1_000);
        expect(setup.carriedOut.get("b reclaimable")).toBe(0);
    });

    it.each([3_000, 7_900])(
        "corrects an order that is carried out %d ms after it was given up",
        async lateByMs => {
            await setup.clock.advance(1_000);
            setup.lateByMs = lateByMs;
            setup.scaling.min = 0;
            await setup.clock.advance(500);
            setup.lateByMs = undefined;
            setup.scaling.min = 2;
            await setup.clock.advance(lateByMs + 2_500);
            expect(setup.carriedOut.get("b reclaimable")).toBe(2);
            await setup.clock.advance(12_000 - lateByMs);
            const { length } = setup.orders;
            await setup.clock.advance(5_000);
            expect(setup.orders.slice(length)).toEqual([]);
        },
    );

    it("does not count ordered upstreams as starting for longer because the order is repeated", async () => {
        setup.listUpstreams({ a: { "reclaimable": 1 }, b: { "reclaimable": 1 } });
        await setup.clock.advance(1_000);
        setup.lateByMs = 0;
        setup.inFlight = 12;
        await setup.clock.advance(500);
        setup.lateByMs = undefined;
        await setup.clock.advance(5_000);
        expect(setup.findLastCount("a", "on-demand")).toBe(0);
        await setup.clock.advance(2_000);
        expect(setup.findLastCount("a", "on-demand")).toBeGreaterThan(0);
    });

    it("does not repeat an order because another one could not be written", async () => {
        setup.listUpstreams({ a: { "reclaimable": 1 }, b: { "reclaimable": 1 } });
        await setup.clock.advance(1_000);
        setup.lateByMs = 0;
        setup.lostEffect = "none";
        setup.scaling.min = 2;
        await setup.clock.advance(500);
        setup.lateByMs = undefined;
        setup.scaling.min = 1;
        const { length } = setup.orders;
        await setup.clock.advance(10_000);
        expect(setup.orders.slice(length)).toEqual([]);
    });

    it("sends no order without the lease", async () => {
        setup.isHolder = false;
        await setup.clock.advance(5_000);
        expect(setup.orders).toEqual([]);
    });
});
