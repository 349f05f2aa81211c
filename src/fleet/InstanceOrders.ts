import { createServiceName } from "../kernel/createServiceName";
import type { Scope } from "../kernel/Scope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Lease } from "../leases/Lease";
import type { HeldLease } from "../leases/types";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { DutyCloud, UpstreamOrder } from "../platform/types";
import type { ServingState } from "../routes/ServingState";
import type { ServedService } from "../routes/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { type InstanceCounts, planInstances } from "./planInstances";

/** Options of {@link InstanceOrders}. */
export interface InstanceOrdersOptions {
    readonly lease: Lease;
    readonly cloud: DutyCloud;
    readonly state: ServingState;
    readonly instances: InstanceRegistry;
    readonly clock: Clock;
    readonly events: EventLog;
    /** Longest time that a call to the cloud takes, in milliseconds. */
    readonly callMs: number;
}

interface PeakSample {
    readonly atMs: number;
    readonly inFlight: number;
}

const tickMs = 500;
const peakMemoryMs = 20_000; // an upstream that is given back costs a boot to get again
const dryMs = 6_000; // a refusal lasts for seconds; an on-demand upstream is ready sooner
const repeatMs = 15_000; // an order that was lost or refused is given again

/** Sizes the upstreams of each service by data centre, as the holder of the lease. */
export class InstanceOrders {
    private readonly scope: Scope;
    private readonly samples = new Map<string, PeakSample[]>();
    /** Time until which no reclaimable upstreams are asked for, by service and data centre. */
    private readonly dryUntilMs = new Map<string, number>();
    /** Last order by service, data centre and market. */
    private readonly ordered = new Map<string, { readonly count: number; readonly atMs: number; }>();

    constructor(private readonly options: InstanceOrdersOptions) {
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

    private *orderFor(service: ServedService): Task<void> {
        const peakInFlight = Math.max(...this.samples.get(service.name)!.map(sample => sample.inFlight));
        const scaling = service.scaling!;
        const plan = planInstances({
            scaling,
            dataCentres: Object.keys(scaling.prices),
            withoutReclaimable: this.listDry(service.name),
            peakInFlight,
            slots: service.engine?.slots ?? 1,
        });
        for (const [dataCentre, counts] of plan) {
            const bridged = this.bridge(service.name, dataCentre, counts);
            const markets = { "reclaimable": counts.reclaimable, "on-demand": bridged } as const;
            for (const market of ["reclaimable", "on-demand"] as const) {
                yield* this.giveIfDue(
                    { service: service.name, dataCentre, market, count: markets[market] },
                    peakInFlight,
                );
            }
        }
    }

    /** On-demand upstreams that stand in for planned reclaimable ones until these are ready. */
    private bridge(service: string, dataCentre: string, counts: InstanceCounts): number {
        const ready = this.options.instances.listInService(service)
            .filter(({ instance }) =>
                instance.dataCentre === dataCentre && instance.market === "reclaimable"
            );
        return counts.onDemand + Math.max(0, counts.reclaimable - ready.length);
    }

    private listDry(service: string): ReadonlySet<string> {
        const nowMs = this.options.clock.readMonotonicMs();
        const dry = [...this.dryUntilMs].filter(([, untilMs]) => untilMs > nowMs).map(([subject]) => subject);
        const prefix = `${service} `;
        return new Set(dry.filter(name => name.startsWith(prefix)).map(name => name.slice(prefix.length)));
    }

    private *giveIfDue(order: UpstreamOrder, peakInFlight: number): Task<void> {
        const lease = this.options.lease.readHeldFor(this.options.callMs);
        const last = this.ordered.get(nameOrder(order));
        const isNeverNeeded = last === undefined && order.market === "reclaimable" && order.count === 0;
        if (!lease || isNeverNeeded) {
            return;
        }
        const nowMs = this.options.clock.readMonotonicMs();
        if (last?.count !== order.count || nowMs - last.atMs > repeatMs) {
            yield* this.give(order, lease, peakInFlight);
        }
    }

    private *give(order: UpstreamOrder, lease: HeldLease, peakInFlight: number): Task<void> {
        const { events, clock, cloud } = this.options;
        const { service, dataCentre, market, count } = order;
        const atMs = clock.readMonotonicMs();
        try {
            const isAccepted = yield* waitFor(cloud.orderUpstreams(order, lease.fencing));
            this.ordered.set(nameOrder(order), { count, atMs });
            if (!isAccepted && market === "reclaimable") {
                this.dryUntilMs.set(nameSubject(order), atMs + dryMs);
            }
            const kind = isAccepted ? eventKinds.fleetSized : eventKinds.fleetRefused;
            events.emit(kind, { service, dataCentre, market, count, peakInFlight, fencing: lease.fencing });
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "fleet", service, dataCentre, error: String(error) });
        }
    }
}

const nameOrder = (order: UpstreamOrder): string => `${nameSubject(order)} ${order.market}`;

const nameSubject = (order: UpstreamOrder): string => `${order.service} ${order.dataCentre}`;

/** Name of the instance orders service. */
export const instanceOrdersName = createServiceName<InstanceOrders>("instance-orders");
