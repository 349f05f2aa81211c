import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Lease } from "../leases/Lease";
import type { HeldLease } from "../leases/types";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { FencedCloud, UpstreamOrder } from "../platform/types";
import type { ServingState } from "../routes/ServingState";
import type { ScalingBounds, ServedService } from "../routes/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeNeededUpstreams } from "./computeNeededUpstreams";
import { type InstanceCounts, planInstances } from "./planInstances";

/** Options of {@link InstanceScaler}. */
export interface InstanceScalerOptions {
    readonly lease: Lease;
    readonly cloud: FencedCloud;
    readonly state: ServingState;
    readonly instances: InstanceRegistry;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Longest time that a call to the cloud takes, in milliseconds. */
    readonly callTimeoutMs: number;
}

interface PeakSample {
    readonly atMs: number;
    readonly inFlight: number;
}

interface AcceptedOrder {
    readonly count: number;
    readonly atMs: number;
}

/** What was there when this process first saw upstreams of a service. */
interface FirstListing {
    readonly atMs: number;
    readonly need: number;
}

const markets = { reclaimable: "reclaimable", onDemand: "on-demand" } as const;

const tickMs = 500;
const peakMemoryMs = 20_000; // an upstream that is given back costs a boot to get again
const refusalMs = 6_000; // a refusal lasts for seconds; an on-demand upstream is ready sooner
const repeatMs = 15_000; // an order that was lost is given again
const bootMarginMs = 1_500; // an upstream is listed some time after its start

/** Sizes the upstreams of each service by data centre, as the holder of the lease. */
export class InstanceScaler {
    private readonly scope: TaskScope;
    private readonly samples = new Map<string, PeakSample[]>();
    /** Time until which no reclaimable upstreams are asked for, by service and data centre. */
    private readonly refusedUntilMs = new Map<string, number>();
    /** Last accepted order by service, data centre and market. */
    private readonly ordered = new Map<string, AcceptedOrder>();
    private readonly firstListings = new Map<string, FirstListing>();
    /** Reclaimable upstreams that served at the last look, by service and data centre. */
    private readonly lastServing = new Map<string, number>();

    constructor(private readonly options: InstanceScalerOptions) {
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("instance-orders", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(tickMs, signal));
            for (const service of this.options.state.table.value?.configuration.services ?? []) {
                this.sample(service.name);
                if (service.scaling) {
                    yield* this.orderFor(service);
                }
            }
            if (!this.options.lease.readHeld()) {
                this.ordered.clear();
            }
        }
    }

    private sample(service: string): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const kept = (this.samples.get(service) ?? []).filter(sample => sample.atMs > nowMs - peakMemoryMs);
        kept.push({ atMs: nowMs, inFlight: this.options.instances.countInFlight(service) });
        this.samples.set(service, kept);
    }

    /** Orders reclaimable upstreams first, so that on-demand ones stand in only for those that were refused. */
    private *orderFor(service: ServedService): Task<void> {
        const scaling = service.scaling!;
        this.forgetLostOrders(service.name, scaling);
        for (const market of ["reclaimable", "onDemand"] as const) {
            const { plan, needed } = this.plan(service, scaling);
            for (const [dataCentre, counts] of plan) {
                const order = {
                    service: service.name,
                    dataCentre,
                    market: markets[market],
                    count: counts[market],
                };
                yield* this.giveIfDue(order, needed);
            }
        }
    }

    /** Forgets an order whose upstreams were taken away, so that it is given again and found refused or not. */
    private forgetLostOrders(service: string, { prices }: ScalingBounds): void {
        const serving = this.countServing(service);
        for (const dataCentre of Object.keys(prices)) {
            const name = nameOrder({ service, dataCentre, market: markets.reclaimable });
            const { reclaimable } = serving.get(dataCentre) ?? noInstances;
            if (reclaimable < (this.lastServing.get(name) ?? 0)) {
                this.ordered.delete(name);
            }
            this.lastServing.set(name, reclaimable);
        }
    }

    private plan(service: ServedService, scaling: ScalingBounds): SizedPlan {
        const serving = this.countServing(service.name);
        const needed = computeNeededUpstreams({
            peakInFlight: Math.max(...this.samples.get(service.name)!.map(sample => sample.inFlight)),
            slots: service.engine?.slots ?? 1,
            initialNeed: this.readEarlierNeed(service.name, serving),
        });
        const plan = planInstances({
            scaling,
            dataCentres: Object.keys(scaling.prices),
            dataCentresWithoutReclaimable: this.listRefused(service.name),
            needed,
            serving,
            booting: this.countBooting(service.name, scaling, serving),
        });
        return { plan, needed };
    }

    private countServing(service: string): ReadonlyMap<string, InstanceCounts> {
        const counts = new Map<string, InstanceCounts>();
        for (const { instance } of this.options.instances.listInService(service)) {
            const { onDemand, reclaimable } = counts.get(instance.dataCentre) ?? noInstances;
            counts.set(
                instance.dataCentre,
                instance.market === "reclaimable"
                    ? { onDemand, reclaimable: reclaimable + 1 }
                    : { onDemand: onDemand + 1, reclaimable },
            );
        }
        return counts;
    }

    /** Reclaimable upstreams that were ordered and may still be starting. */
    private countBooting(
        service: string,
        { prices, bootMs }: ScalingBounds,
        serving: ReadonlyMap<string, InstanceCounts>,
    ): ReadonlyMap<string, number> {
        const nowMs = this.options.clock.readMonotonicMs();
        const booting = new Map<string, number>();
        for (const dataCentre of Object.keys(prices)) {
            const last = this.ordered.get(nameOrder({ service, dataCentre, market: markets.reclaimable }));
            if (last && nowMs - last.atMs <= bootMs + bootMarginMs) {
                const { reclaimable } = serving.get(dataCentre) ?? noInstances;
                booting.set(dataCentre, Math.max(0, last.count - reclaimable));
            }
        }
        return booting;
    }

    /** Need that the upstreams tell of which were there at first, until the load has been observed for long enough. */
    private readEarlierNeed(service: string, serving: ReadonlyMap<string, InstanceCounts>): number {
        const nowMs = this.options.clock.readMonotonicMs();
        const first = this.firstListings.get(service);
        if (first) {
            return nowMs - first.atMs < peakMemoryMs ? first.need : 0;
        }
        const counts = [...serving.values()].map(({ onDemand, reclaimable }) => onDemand + reclaimable);
        const need = counts.reduce((sum, count) => sum + count, 0) - Math.max(0, ...counts);
        if (counts.length > 0) {
            this.firstListings.set(service, { atMs: nowMs, need });
        }
        return need;
    }

    private listRefused(service: string): ReadonlySet<string> {
        const nowMs = this.options.clock.readMonotonicMs();
        const refused = [...this.refusedUntilMs].filter(([, untilMs]) => untilMs > nowMs).map(([subject]) =>
            subject
        );
        const prefix = `${service} `;
        return new Set(
            refused.filter(name => name.startsWith(prefix)).map(name => name.slice(prefix.length)),
        );
    }

    private *giveIfDue(order: UpstreamOrder, needed: number): Task<void> {
        const lease = this.options.lease.readHeldFor(this.options.callTimeoutMs);
        const last = this.ordered.get(nameOrder(order));
        const isNeverNeeded = last === undefined && order.market === "reclaimable" && order.count === 0;
        if (!lease || isNeverNeeded) {
            return;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        if (last?.count !== order.count || nowMs - last.atMs > repeatMs) {
            yield* this.give(order, lease, needed);
        }
    }

    private *give(order: UpstreamOrder, lease: HeldLease, needed: number): Task<void> {
        const { events, clock, cloud } = this.options;
        const { service, dataCentre, market, count } = order;
        const atMs = clock.readMonotonicMs();
        try {
            const isAccepted = yield* waitFor(cloud.orderUpstreams(order, lease.fencing));
            this.recordOutcome(order, isAccepted, atMs);
            const kind = isAccepted ? eventKinds.fleetSized : eventKinds.fleetRefused;
            events.emit(kind, { service, dataCentre, market, count, needed, fencing: lease.fencing });
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "fleet", service, dataCentre, error: String(error) });
        }
    }

    private recordOutcome(order: UpstreamOrder, isAccepted: boolean, atMs: number): void {
        if (isAccepted) {
            this.ordered.set(nameOrder(order), { count: order.count, atMs });
            return;
        }
        this.ordered.delete(nameOrder(order));
        if (order.market === markets.reclaimable) {
            this.refusedUntilMs.set(nameSubject(order), atMs + refusalMs);
        }
    }
}

interface SizedPlan {
    readonly plan: ReadonlyMap<string, InstanceCounts>;
    readonly needed: number;
}

const noInstances: InstanceCounts = { onDemand: 0, reclaimable: 0 };

/** What an order is for; a later order for the same takes its place. */
type OrderSubject = Omit<UpstreamOrder, "count">;

const nameOrder = (order: OrderSubject): string => `${nameSubject(order)} ${order.market}`;

const nameSubject = (order: OrderSubject): string => `${order.service} ${order.dataCentre}`;

/** Name of the instance orders service. */
export const instanceScalerName = createServiceName<InstanceScaler>("instance-orders");
