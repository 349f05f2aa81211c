import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { DutyCaller } from "../leases/DutyCaller";
import type { Lease } from "../leases/Lease";
import type { DutyTarget } from "../leases/types";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import { StoreError } from "../platform/StoreError";
import type { FencedCloud, UpstreamOrder } from "../platform/types";
import type { ServingState } from "../routes/ServingState";
import type { ScalingBounds, ServedService } from "../routes/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
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
    /** Time-out of a call to the cloud, in milliseconds. */
    readonly callTimeoutMs: number;
}

interface LoadSample {
    readonly atMs: number;
    readonly inFlight: number;
    /** Upstreams that state a limit of requests. */
    readonly limited: number;
}

interface AcceptedOrder {
    readonly count: number;
    /** Monotonic time at which it was sent last, in milliseconds. */
    readonly atMs: number;
    /** Monotonic time from which its upstreams count as starting, in milliseconds. */
    readonly startMs: number;
}

/** Need implied by the upstreams that existed when this process first listed a service. */
interface InitialListing {
    readonly atMs: number;
    readonly need: number;
}

const markets = { reclaimable: "reclaimable", onDemand: "on-demand" } as const;

const cycleMs = 500;
const peakWindowMs = 20_000; // replacing an upstream released too early costs a boot
const refusalBackOffMs = 6_000; // refusals last for seconds; an on-demand upstream is ready sooner
const orderRepeatMs = 15_000; // repeats an order that may have been lost
const lateOrderMs = 8_000; // for which an order that was given up may still be carried out
const lateOrderRepeatMs = 2_000; // repeats an order that such a late one may replace
const bootMarginMs = 1_500; // an upstream is listed only some time after its start

/** Orders upstreams for each service and data centre to match the load, while this node holds the lease. */
export class InstanceScaler {
    private readonly scope: TaskScope;
    private readonly caller: DutyCaller;
    private readonly samples = new Map<string, LoadSample[]>();
    /** Monotonic time until which reclaimable upstreams count as unavailable, by service and data centre. */
    private readonly refusedUntilMs = new Map<string, number>();
    /** Last accepted order, by service, data centre and market. */
    private readonly acceptedOrders = new Map<string, AcceptedOrder>();
    /** Monotonic time at which an order was last given up without an answer, by service, data centre and market. */
    private readonly givenUpAtMs = new Map<string, number>();
    private readonly initialListings = new Map<string, InitialListing>();
    /** Serving reclaimable upstreams in the previous cycle, by service and data centre. */
    private readonly lastServingCounts = new Map<string, number>();

    constructor(private readonly options: InstanceScalerOptions) {
        this.scope = createLoggedTaskScope(options.events);
        this.caller = new DutyCaller(options);
    }

    async start(): Promise<void> {
        this.scope.run("instance-orders", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(cycleMs, signal));
            for (const service of this.options.state.table.value?.configuration.services ?? []) {
                this.sampleLoad(service.name);
                if (service.scaling) {
                    yield* this.orderInstances(service);
                }
            }
            if (!this.options.lease.isHolder()) {
                this.acceptedOrders.clear();
                this.givenUpAtMs.clear();
            }
        }
    }

    private sampleLoad(service: string): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const recent = (this.samples.get(service) ?? []).filter(sample => sample.atMs > nowMs - peakWindowMs);
        const { instances } = this.options;
        recent.push({
            atMs: nowMs,
            inFlight: instances.countInFlight(service),
            limited: instances.countLimited(service),
        });
        this.samples.set(service, recent);
    }

    /** Orders reclaimable upstreams first, then plans again: on-demand ones replace only those that were refused. */
    private *orderInstances(service: ServedService): Task<void> {
        const scaling = service.scaling!;
        this.clearReclaimedOrders(service.name, scaling);
        for (const market of ["reclaimable", "onDemand"] as const) {
            const { plan, needed } = this.planService(service, scaling);
            for (const [dataCentre, counts] of plan) {
                const order = {
                    service: service.name,
                    dataCentre,
                    market: markets[market],
                    count: counts[market],
                };
                yield* this.sendOrderIfDue(order, needed);
            }
        }
    }

    /** Clears orders whose upstreams were reclaimed. The repeated order shows whether replacements are available. */
    private clearReclaimedOrders(service: string, { prices }: ScalingBounds): void {
        const serving = this.countServing(service);
        for (const dataCentre of Object.keys(prices)) {
            const key = formatOrderKey({ service, dataCentre, market: markets.reclaimable });
            const { reclaimable } = serving.get(dataCentre) ?? noInstances;
            if (reclaimable < (this.lastServingCounts.get(key) ?? 0)) {
                this.acceptedOrders.delete(key);
            }
            this.lastServingCounts.set(key, reclaimable);
        }
    }

    private planService(service: ServedService, scaling: ScalingBounds): InstancePlan {
        const serving = this.countServing(service.name);
        const samples = this.samples.get(service.name)!;
        const needed = computeNeededUpstreams({
            peakInFlight: Math.max(...samples.map(sample => sample.inFlight)),
            slots: service.engine?.slots ?? 1,
            limitedUpstreams: Math.max(...samples.map(sample => sample.limited)),
            initialNeed: this.computeInitialNeed(service.name, serving),
        });
        const plan = planInstances({
            scaling,
            dataCentres: Object.keys(scaling.prices),
            dataCentresWithoutReclaimable: this.listRefusedDataCentres(service.name),
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

    /** Counts ordered reclaimable upstreams that may still be starting, by data centre. */
    private countBooting(
        service: string,
        { prices, bootMs }: ScalingBounds,
        serving: ReadonlyMap<string, InstanceCounts>,
    ): ReadonlyMap<string, number> {
        const nowMs = this.options.clock.readMonotonicMs();
        const booting = new Map<string, number>();
        for (const dataCentre of Object.keys(prices)) {
            const last = this.acceptedOrders.get(
                formatOrderKey({ service, dataCentre, market: markets.reclaimable }),
            );
            if (last && nowMs - last.startMs <= bootMs + bootMarginMs) {
                const { reclaimable } = serving.get(dataCentre) ?? noInstances;
                booting.set(dataCentre, Math.max(0, last.count - reclaimable));
            }
        }
        return booting;
    }

    /**
     * Computes the need implied by the upstreams that existed at the first listing. Returns 0 once the load has been
     * observed for a whole peak window.
     */
    private computeInitialNeed(service: string, serving: ReadonlyMap<string, InstanceCounts>): number {
        const nowMs = this.options.clock.readMonotonicMs();
        const first = this.initialListings.get(service);
        if (first) {
            return nowMs - first.atMs < peakWindowMs ? first.need : 0;
        }
        const counts = [...serving.values()].map(({ onDemand, reclaimable }) => onDemand + reclaimable);
        const need = counts.reduce((sum, count) => sum + count, 0) - Math.max(0, ...counts);
        if (counts.length > 0) {
            this.initialListings.set(service, { atMs: nowMs, need });
        }
        return need;
    }

    private listRefusedDataCentres(service: string): ReadonlySet<string> {
        const nowMs = this.options.clock.readMonotonicMs();
        const refused = [...this.refusedUntilMs].filter(([, untilMs]) => untilMs > nowMs).map(([subject]) =>
            subject
        );
        const prefix = `${service} `;
        return new Set(
            refused.filter(name => name.startsWith(prefix)).map(name => name.slice(prefix.length)),
        );
    }

    private *sendOrderIfDue(order: UpstreamOrder, needed: number): Task<void> {
        const isHolder = this.options.lease.readHeldFor(this.options.callTimeoutMs) !== undefined;
        if (isHolder && this.isOrderDue(order)) {
            yield* this.sendOrder(order, needed);
        }
    }

    /**
     * Whether an order is to be sent. One that was given up without an answer may have been carried out, or may be
     * carried out after later ones, which are therefore repeated.
     */
    private isOrderDue(order: UpstreamOrder): boolean {
        const last = this.acceptedOrders.get(formatOrderKey(order));
        const givenUpAtMs = this.givenUpAtMs.get(formatOrderKey(order)) ?? -Infinity;
        if (!last) {
            return order.market !== markets.reclaimable || order.count > 0 || givenUpAtMs > -Infinity;
        }
        const repeatMs = last.atMs < givenUpAtMs + lateOrderMs ? lateOrderRepeatMs : orderRepeatMs;
        return last.count !== order.count
            || last.atMs < givenUpAtMs
            || this.options.clock.readMonotonicMs() - last.atMs > repeatMs;
    }

    private *sendOrder(order: UpstreamOrder, needed: number): Task<void> {
        const { events, clock, cloud } = this.options;
        const { service, dataCentre, market, count } = order;
        const atMs = clock.readMonotonicMs();
        try {
            const answered = yield* waitFor(this.caller.call(
                toDutyTarget(order),
                (fencing, stages) => cloud.orderUpstreams(order, fencing, stages),
            ));
            if (!answered) {
                return;
            }
            const { answer: isAccepted, fencing } = answered;
            this.recordOutcome(order, isAccepted, atMs);
            const kind = isAccepted ? eventKinds.fleetSized : eventKinds.fleetRefused;
            events.emit(kind, { service, dataCentre, market, count, needed, fencing });
        }
        catch (error) {
            if (error instanceof StoreError && error.effect === "unknown") {
                this.givenUpAtMs.set(formatOrderKey(order), clock.readMonotonicMs());
            }
            events.emit(eventKinds.dutyFailed, { duty: "fleet", service, dataCentre, error: String(error) });
        }
    }

    private recordOutcome(order: UpstreamOrder, isAccepted: boolean, atMs: number): void {
        const key = formatOrderKey(order);
        const last = this.acceptedOrders.get(key);
        if (isAccepted) {
            const isRepeat = last?.count === order.count && atMs - last.atMs <= orderRepeatMs;
            this.acceptedOrders.set(key, {
                count: order.count,
                atMs,
                startMs: isRepeat ? last.startMs : atMs,
            });
            return;
        }
        this.acceptedOrders.delete(key);
        if (order.market === markets.reclaimable) {
            this.refusedUntilMs.set(formatTargetKey(order), atMs + refusalBackOffMs);
        }
    }
}

interface InstancePlan {
    readonly plan: ReadonlyMap<string, InstanceCounts>;
    readonly needed: number;
}

const noInstances: InstanceCounts = { onDemand: 0, reclaimable: 0 };

/** Target of an order; a later order for the same target replaces it. */
type OrderTarget = Omit<UpstreamOrder, "count">;

const toDutyTarget = (order: OrderTarget): DutyTarget => ({ duty: "fleet", subject: formatTargetKey(order) });

const formatOrderKey = (order: OrderTarget): string => `${formatTargetKey(order)} ${order.market}`;

const formatTargetKey = (order: OrderTarget): string => `${order.service} ${order.dataCentre}`;

/** Name of the instance scaler service. */
export const instanceScalerName = createServiceName<InstanceScaler>("instance-orders");
