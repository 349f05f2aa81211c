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
import { planInstanceCounts } from "./planInstanceCounts";

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
const repeatMs = 15_000; // an order that was lost or refused is given again

/** Sizes the upstreams of each service by data centre, as the holder of the lease. */
export class InstanceOrders {
    private readonly scope: Scope;
    private readonly samples = new Map<string, PeakSample[]>();
    /** Last order by service and data centre. */
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
        const counts = planInstanceCounts({
            scaling,
            dataCentres: Object.keys(scaling.prices),
            peakInFlight,
            slots: service.engine?.slots ?? 1,
        });
        for (const [dataCentre, count] of counts) {
            const order: UpstreamOrder = { service: service.name, dataCentre, market: "on-demand", count };
            const lease = this.options.lease.readHeldFor(this.options.callMs);
            if (lease && this.isDue(order)) {
                yield* this.give(order, lease, peakInFlight);
            }
        }
    }

    private isDue(order: UpstreamOrder): boolean {
        const last = this.ordered.get(nameSubject(order));
        return last?.count !== order.count || this.options.clock.readMonotonicMs() - last.atMs > repeatMs;
    }

    private *give(order: UpstreamOrder, lease: HeldLease, peakInFlight: number): Task<void> {
        const { events, clock, cloud } = this.options;
        const { service, dataCentre, count } = order;
        const atMs = clock.readMonotonicMs();
        try {
            const isAccepted = yield* waitFor(cloud.orderUpstreams(order, lease.fencing));
            this.ordered.set(nameSubject(order), { count, atMs });
            const kind = isAccepted ? eventKinds.fleetSized : eventKinds.fleetRefused;
            events.emit(kind, { service, dataCentre, count, peakInFlight, fencing: lease.fencing });
        }
        catch (error) {
            events.emit(eventKinds.dutyFailed, { duty: "fleet", service, dataCentre, error: String(error) });
        }
    }
}

const nameSubject = (order: UpstreamOrder): string => `${order.service} ${order.dataCentre}`;

/** Name of the instance orders service. */
export const instanceOrdersName = createServiceName<InstanceOrders>("instance-orders");
