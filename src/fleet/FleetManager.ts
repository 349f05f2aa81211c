import type { Declaration, ModelService } from "../declaration/declarationSchema";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Lease } from "../leases/Lease";
import type { HeldLease } from "../leases/types";
import type { ScheduledReclaim } from "../membership/CloudPoller";
import type { GossipMap } from "../peers/GossipMap";
import type { Cloud, Vm, VmOffer, VmRequest, WeightStore } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Runner } from "../upstreams/Runner";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";
import { formatOfferKey } from "./formatOfferKey";
import { ReclaimRates } from "./ReclaimRates";
import type { FleetPolicy, FleetVm } from "./types";

/** Options of {@link FleetManager}. */
export interface FleetManagerOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    readonly registry: UpstreamRegistry;
    readonly cloud: Cloud;
    /** Undefined when models need no transfers. */
    readonly weights?: WeightStore;
    readonly lease: Lease;
    readonly policy: FleetPolicy;
    readonly readDeclaration: () => Declaration | undefined;
    /** Requests that wait at this node, by service. */
    readonly readQueueSizes: () => ReadonlyMap<string, number>;
    readonly minVms: number;
    /** Pause between decisions; default 2,000 ms. */
    readonly cycleMs?: number;
}

/** A VM that was ordered, as the gossip map holds it until the VM is listed. */
interface OrderedVm {
    readonly vm: Vm;
    readonly orderedAtMs: number;
}

interface OpenOrder {
    readonly request: VmRequest;
    readonly offer: VmOffer;
}

const orderDeadlineMs = 2_000; // an order is given only while the lease lasts longer than this
const startLimitMs = 600_000; // an ordered VM that is not listed by then is given up
const refusedOfferMs = 60_000;
const headroom = 1.15;
const defaultSlots = 16;
const loadSmoothing = 0.2;
const fallSmoothing = 0.1; // capacity follows a falling load slowly

/** Sizes the fleet of each model service and places models. Only the holder of the lease gives orders. */
export class FleetManager {
    private readonly scope: TaskScope;
    private readonly neededLoad = new Map<string, number>();
    private readonly refusedAtMs = new Map<string, number>();
    private readonly openOrders = new Map<string, OpenOrder>();
    private readonly rates: ReclaimRates;
    private orderCount = 0;

    constructor(private readonly options: FleetManagerOptions) {
        this.rates = new ReclaimRates(options.clock);
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        await this.options.lease.start();
        this.scope.run("fleet", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
        await this.options.lease.stop();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.cycleMs ?? 2_000, signal));
            this.observeReclaims();
            const services = this.options.readDeclaration()?.services ?? [];
            for (const service of services) {
                if (service.kind === "model" && this.readLease()) {
                    yield* this.manage(service);
                }
            }
        }
    }

    /** The lease, when an order given now arrives within it. */
    private readLease(): HeldLease | undefined {
        const held = this.options.lease.readHeld();
        return held && held.remainingMs > orderDeadlineMs ? held : undefined;
    }

    private *manage(service: ModelService): Task<void> {
        const runners = this.options.registry.listRunners(service.name);
        yield* this.settleOpenOrders();
        yield* this.releaseDrained(runners);
        const plan = this.options.policy.plan({
            vms: [
                ...runners.map(runner => this.describe(runner)),
                ...this.listOrdered(service.name, runners),
            ],
            offers: this.readOffers(),
            neededSlots: this.followLoad(service.name, runners) * headroom,
            slotsPerVm: runners[0]?.slots ?? defaultSlots,
            reclaimsPerHour: this.rates.computeRates(),
            refusedOffers: this.readRefusedOffers(),
            minVms: this.options.minVms,
        });
        for (const offer of plan.requests) {
            yield* this.requestVm(service.name, offer);
        }
        plan.releases.forEach(vmId => this.drain(vmId));
        for (const runner of runners.filter(candidate => !candidate.isLeaving)) {
            yield* this.placeModels(service, runner);
        }
    }

    /** VMs that were ordered and are not listed yet count as there, so that they are not ordered again. */
    private listOrdered(service: string, runners: readonly Runner[]): FleetVm[] {
        const oldestMs = this.options.clock.readWallMs() - startLimitMs;
        const ordered: FleetVm[] = [];
        for (const { vm, orderedAtMs } of this.options.gossip.listValues<OrderedVm>("ordered/")) {
            if (runners.some(runner => runner.id === vm.id) || orderedAtMs < oldestMs) {
                this.options.gossip.set(`ordered/${vm.id}`, undefined);
            }
            else if (vm.service === service) {
                const { id, dataCentre, machineClass, market } = vm;
                const slots = runners[0]?.slots ?? defaultSlots;
                ordered.push({
                    id,
                    dataCentre,
                    machineClass,
                    market,
                    slots,
                    load: 0,
                    pricePerHour: 0,
                    isLeaving: false,
                });
            }
        }
        return ordered;
    }

    /** Follows the load up quickly and down slowly. */
    private followLoad(service: string, runners: readonly Runner[]): number {
        const running = runners.reduce((sum, runner) => sum + runner.estimatedLoad, 0);
        const load = running + (this.options.readQueueSizes().get(service) ?? 0);
        const before = this.neededLoad.get(service) ?? load;
        const next = before + (load > before ? loadSmoothing : fallSmoothing) * (load - before);
        this.neededLoad.set(service, next);
        return next;
    }

    /** Orders whose answer was lost are sent again under the same token. */
    private *settleOpenOrders(): Task<void> {
        for (const order of [...this.openOrders.values()]) {
            yield* this.sendOrder(order);
        }
    }

    private *requestVm(service: string, offer: VmOffer): Task<void> {
        const held = this.readLease();
        if (!held) {
            return;
        }
        this.orderCount += 1;
        const token = `${this.options.nodeId}-${held.fencing}-${this.orderCount}`;
        const { dataCentre, machineClass, market } = offer;
        yield* this.sendOrder({ request: { token, service, dataCentre, machineClass, market }, offer });
    }

    private *sendOrder(order: OpenOrder): Task<void> {
        const { request } = order;
        this.openOrders.set(request.token, order);
        try {
            const vm = yield* waitFor(this.options.cloud.requestVm(request));
            this.openOrders.delete(request.token);
            const fields = { token: request.token, service: request.service, dataCentre: request.dataCentre };
            if (vm) {
                const orderedAtMs = this.options.clock.readWallMs();
                this.options.gossip.set(`ordered/${vm.id}`, { vm, orderedAtMs } satisfies OrderedVm);
                this.options.events.emit(eventKinds.fleetOrder, {
                    ...fields,
                    order: "request-vm",
                    vm: vm.id,
                });
            }
            else {
                this.refusedAtMs.set(formatOfferKey(order.offer), this.options.clock.readMonotonicMs());
                this.options.events.emit(eventKinds.fleetRefused, { ...fields, order: "request-vm" });
            }
        }
        catch {
            // The answer was lost; the same token is sent again in the next round.
        }
    }

    /** Takes a VM out of use on every node; it is released when it has no load. */
    private drain(vmId: string): void {
        this.options.gossip.set(`drain/${vmId}`, { vmId });
        this.options.events.emit(eventKinds.fleetOrder, { order: "drain", vm: vmId });
    }

    private *releaseDrained(runners: readonly Runner[]): Task<void> {
        for (const runner of runners) {
            const drained = this.options.gossip.get(`drain/${runner.id}`) !== undefined;
            if (!drained || runner.estimatedLoad > 0 || !this.readLease()) {
                continue;
            }
            try {
                yield* waitFor(this.options.cloud.releaseVm(runner.id));
                this.options.gossip.set(`drain/${runner.id}`, undefined);
                this.options.events.emit(eventKinds.fleetOrder, { order: "release-vm", vm: runner.id });
            }
            catch {
                // Releasing is idempotent; the next round does it again.
            }
        }
    }

    /** Reads the runner's state back and orders the models that it lacks, within the weight store's rate. */
    private *placeModels(service: ModelService, runner: Runner): Task<void> {
        const engine = runner.client.engine!;
        try {
            const state = yield* waitFor(engine.readState());
            for (const model of service.models.filter(candidate => !state.models.includes(candidate))) {
                const waitMs = this.options.weights
                    ? yield* waitFor(this.options.weights.reserveTransfer(model))
                    : 0;
                const held = this.readLease();
                if (!held || waitMs > 0) {
                    return;
                }
                const orderId = `${held.fencing}-${runner.id}-${model}`;
                const outcome = yield* waitFor(
                    engine.sendOrder({ orderId, fencing: held.fencing, kind: "load-model", value: model }),
                );
                const kind = outcome === "done" ? eventKinds.fleetOrder : eventKinds.fleetRefused;
                this.options.events.emit(kind, { order: "load-model", runner: runner.id, model, outcome });
            }
        }
        catch {
            // The runner does not answer; the next round reads its state again.
        }
    }

    private observeReclaims(): void {
        for (const notice of this.options.gossip.listValues<ScheduledReclaim>("notice/")) {
            this.rates.recordNotice(notice.vmId, notice.dataCentre);
        }
        const services = this.options.readDeclaration()?.services ?? [];
        const runners = services.flatMap(service => this.options.registry.listRunners(service.name));
        this.rates.recordRunningVms(runners.map(runner => runner.vm));
    }

    private describe(runner: Runner): FleetVm {
        const { id, dataCentre, machineClass, market } = runner.vm;
        const offer = this.readOffers().find(candidate =>
            formatOfferKey(candidate) === `${dataCentre}/${machineClass}/${market}`
        );
        return {
            id,
            dataCentre,
            machineClass,
            market,
            slots: runner.slots,
            load: runner.estimatedLoad,
            pricePerHour: offer?.pricePerHour ?? 0,
            isLeaving: runner.isLeaving,
        };
    }

    private readOffers(): readonly VmOffer[] {
        return this.options.gossip.get("offers") as readonly VmOffer[] | undefined ?? [];
    }

    private readRefusedOffers(): Set<string> {
        const oldestMs = this.options.clock.readMonotonicMs() - refusedOfferMs;
        for (const [name, atMs] of this.refusedAtMs) {
            if (atMs < oldestMs) {
                this.refusedAtMs.delete(name);
            }
        }
        return new Set(this.refusedAtMs.keys());
    }
}

/** Name of the fleet manager service. */
export const fleetManagerName = createServiceName<FleetManager>("fleet-manager");
