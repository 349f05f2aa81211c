import type { Declaration, ModelService } from "../declaration/declarationSchema";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import { DutyCaller } from "../leases/DutyCaller";
import type { Lease } from "../leases/Lease";
import type { DutyTarget, HeldLease } from "../leases/types";
import type { ScheduledReclaim } from "../membership/CloudPoller";
import type { GossipMap } from "../peers/GossipMap";
import type { Cloud, Vm, VmOffer, VmRequest, WeightStore } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Runner } from "../upstreams/Runner";
import type { EngineOrder } from "../upstreams/types";
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
    /** Limits the rate of model transfers; undefined if models need no transfer. */
    readonly weights?: WeightStore;
    readonly lease: Lease;
    readonly policy: FleetPolicy;
    readonly readDeclaration: () => Declaration | undefined;
    /** Returns the number of requests queued at this node, by service. */
    readonly readQueueSizes: () => ReadonlyMap<string, number>;
    readonly minVms: number;
    /** Time-out of an order, in milliseconds. */
    readonly callTimeoutMs: number;
    /** Time between planning cycles; default 2,000 ms. */
    readonly cycleMs?: number;
}

/** A requested VM, stored in the gossip map until the cloud lists it. */
interface OrderedVm {
    readonly vm: Vm;
    readonly orderedAtMs: number;
}

/** A VM request that the cloud has not answered yet. */
interface UnconfirmedRequest {
    readonly request: VmRequest;
    /** Number of the holding under which it was made. */
    readonly fencing: number;
    readonly offer: VmOffer;
}

const startTimeoutMs = 600_000; // a requested VM that is not listed by then is no longer counted as capacity
const refusalMs = 60_000; // a refused offer is not requested again for this long
const headroomFactor = 1.15;
const defaultSlots = 16;
const riseSmoothing = 0.2;
const fallSmoothing = 0.1; // lower than riseSmoothing: capacity is reduced more slowly than it is added

/**
 * Sizes the fleet of each model service and loads models onto runners. Only the lease holder sends orders, each after the
 * store has confirmed the lease on the open connection of the order.
 */
export class FleetManager {
    private readonly scope: TaskScope;
    private readonly caller: DutyCaller;
    private readonly smoothedLoad = new Map<string, number>();
    private readonly refusedAtMs = new Map<string, number>();
    private readonly unconfirmedRequests = new Map<string, UnconfirmedRequest>();
    private readonly reclaimRates: ReclaimRates;
    private requestCount = 0;

    constructor(private readonly options: FleetManagerOptions) {
        this.reclaimRates = new ReclaimRates(options.clock);
        this.scope = createLoggedTaskScope(options.events);
        this.caller = new DutyCaller(options);
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
            this.updateReclaimRates();
            const services = this.options.readDeclaration()?.services ?? [];
            for (const service of services) {
                if (service.kind === "model" && this.readUsableLease()) {
                    yield* this.manageService(service);
                }
            }
        }
    }

    /** Returns the lease if enough of it remains for an order sent now to arrive before it expires. */
    private readUsableLease(): HeldLease | undefined {
        return this.options.lease.readHeldFor(this.options.callTimeoutMs);
    }

    private *manageService(service: ModelService): Task<void> {
        const runners = this.options.registry.listRunners(service.name);
        yield* this.retryUnconfirmedRequests();
        yield* this.releaseDrainedVms(runners);
        const plan = this.options.policy.plan({
            vms: [
                ...runners.map(runner => this.toFleetVm(runner)),
                ...this.listOrderedVms(service.name, runners),
                ...this.listUnconfirmedVms(service.name, runners),
            ],
            offers: this.readOffers(),
            neededSlots: this.updateSmoothedLoad(service.name, runners) * headroomFactor,
            slotsPerVm: runners[0]?.slots ?? defaultSlots,
            reclaimsPerHour: this.reclaimRates.computeRates(),
            refusedOffers: this.readRefusedOffers(),
            minVms: this.options.minVms,
        });
        for (const offer of plan.requests) {
            yield* this.requestVm(service.name, offer);
        }
        const created = plan.releases.filter(vmId => !this.unconfirmedRequests.has(vmId));
        for (const vmId of created) {
            yield* this.drainVm(service.name, vmId);
        }
        for (const runner of runners.filter(candidate => !candidate.isLeaving)) {
            yield* this.loadMissingModels(service, runner);
        }
    }

    /** Lists requested VMs that have no runner yet. They count as capacity, which avoids requesting them twice. */
    private listOrderedVms(service: string, runners: readonly Runner[]): FleetVm[] {
        const oldestMs = this.options.clock.readWallMs() - startTimeoutMs;
        const ordered: FleetVm[] = [];
        for (const { vm, orderedAtMs } of this.options.gossip.listValues<OrderedVm>("ordered/")) {
            if (runners.some(runner => runner.id === vm.id) || orderedAtMs < oldestMs) {
                this.options.gossip.set(`ordered/${vm.id}`, undefined);
            }
            else if (vm.service === service) {
                ordered.push(toStartingVm(vm.id, vm, runners));
            }
        }
        return ordered;
    }

    /** Lists requested VMs of which the cloud may have created none yet. They count as well, as each request is repeated. */
    private listUnconfirmedVms(service: string, runners: readonly Runner[]): FleetVm[] {
        return [...this.unconfirmedRequests.values()]
            .filter(({ request }) => request.service === service)
            .map(({ request, offer }) => toStartingVm(request.token, offer, runners));
    }

    /** Updates and returns an exponential moving average of the load, which rises faster than it falls. */
    private updateSmoothedLoad(service: string, runners: readonly Runner[]): number {
        const running = runners.reduce((sum, runner) => sum + runner.estimatedLoad, 0);
        const load = running + (this.options.readQueueSizes().get(service) ?? 0);
        const before = this.smoothedLoad.get(service) ?? load;
        const next = before + (load > before ? riseSmoothing : fallSmoothing) * (load - before);
        this.smoothedLoad.set(service, next);
        return next;
    }

    /**
     * Repeats requests whose answer was lost, with the same idempotency token. Those of an earlier holding are dropped: what
     * they have effected is listed by now, and another holder may have ordered instead.
     */
    private *retryUnconfirmedRequests(): Task<void> {
        const fencing = this.readUsableLease()?.fencing;
        for (const unconfirmed of [...this.unconfirmedRequests.values()]) {
            if (unconfirmed.fencing === fencing) {
                yield* this.sendRequest(unconfirmed);
            }
            else {
                this.unconfirmedRequests.delete(unconfirmed.request.token);
            }
        }
    }

    private *requestVm(service: string, offer: VmOffer): Task<void> {
        const held = this.readUsableLease();
        if (!held) {
            return;
        }
        this.requestCount += 1;
        const token = `${this.options.nodeId}-${held.fencing}-${this.requestCount}`;
        const { dataCentre, machineClass, market } = offer;
        const request = { token, service, dataCentre, machineClass, market };
        yield* this.sendRequest({ request, fencing: held.fencing, offer });
    }

    private *sendRequest(unconfirmed: UnconfirmedRequest): Task<void> {
        const { request } = unconfirmed;
        this.unconfirmedRequests.set(request.token, unconfirmed);
        try {
            const answered = yield* waitFor(this.caller.call(
                toTarget(request.service),
                (_fencing, stages) => this.options.cloud.requestVm(request, stages),
            ));
            if (!answered) {
                return;
            }
            const vm = answered.answer;
            this.unconfirmedRequests.delete(request.token);
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
                this.refusedAtMs.set(formatOfferKey(unconfirmed.offer), this.options.clock.readMonotonicMs());
                this.options.events.emit(eventKinds.fleetRefused, { ...fields, order: "request-vm" });
            }
        }
        catch {
            // No answer arrived; the next cycle repeats the request with the same token.
        }
    }

    /** Marks a VM as draining on every node; it is released once it has no load. The mark cannot be taken back. */
    private *drainVm(service: string, vmId: string): Task<void> {
        try {
            const answered = yield* waitFor(this.caller.call(toTarget(service), async (_fencing, stages) => {
                await stages.onConnected();
                stages.onWrite();
                this.options.gossip.set(`drain/${vmId}`, { vmId });
            }));
            if (answered) {
                this.options.events.emit(eventKinds.fleetOrder, { order: "drain", vm: vmId });
            }
        }
        catch {
            // The lease was not confirmed; the next cycle plans again.
        }
    }

    private *releaseDrainedVms(runners: readonly Runner[]): Task<void> {
        for (const runner of runners) {
            const isDrained = this.options.gossip.get(`drain/${runner.id}`) !== undefined;
            if (!isDrained || runner.estimatedLoad > 0 || !this.readUsableLease()) {
                continue;
            }
            try {
                const answered = yield* waitFor(this.caller.call(
                    toTarget(runner.vm.service),
                    (_fencing, stages) => this.options.cloud.releaseVm(runner.id, stages),
                ));
                if (!answered) {
                    return;
                }
                this.options.gossip.set(`drain/${runner.id}`, undefined);
                this.options.events.emit(eventKinds.fleetOrder, { order: "release-vm", vm: runner.id });
            }
            catch {
                // Releasing is idempotent; the next cycle retries it.
            }
        }
    }

    /** Orders the runner to load the models missing from its state, within the weight store's transfer rate. */
    private *loadMissingModels(service: ModelService, runner: Runner): Task<void> {
        const engine = runner.client.engine!;
        try {
            const state = yield* waitFor(engine.readState());
            for (const model of service.models.filter(candidate => !state.models.includes(candidate))) {
                const waitMs = this.options.weights
                    ? yield* waitFor(this.options.weights.reserveTransfer(model))
                    : 0;
                if (waitMs > 0) {
                    return;
                }
                const answered = yield* waitFor(this.caller.call(
                    toTarget(runner.id),
                    (fencing, stages) => engine.sendOrder(createLoadOrder(fencing, runner.id, model), stages),
                ));
                if (!answered) {
                    return;
                }
                const outcome = answered.answer;
                const kind = outcome === "done" ? eventKinds.fleetOrder : eventKinds.fleetRefused;
                this.options.events.emit(kind, { order: "load-model", runner: runner.id, model, outcome });
            }
        }
        catch {
            // The runner does not answer; the next cycle reads its state again.
        }
    }

    private updateReclaimRates(): void {
        for (const notice of this.options.gossip.listValues<ScheduledReclaim>("notice/")) {
            this.reclaimRates.recordNotice(notice.vmId, notice.dataCentre);
        }
        const services = this.options.readDeclaration()?.services ?? [];
        const runners = services.flatMap(service => this.options.registry.listRunners(service.name));
        this.reclaimRates.recordRunningVms(runners.map(runner => runner.vm));
    }

    private toFleetVm(runner: Runner): FleetVm {
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
        const oldestMs = this.options.clock.readMonotonicMs() - refusalMs;
        for (const [name, atMs] of this.refusedAtMs) {
            if (atMs < oldestMs) {
                this.refusedAtMs.delete(name);
            }
        }
        return new Set(this.refusedAtMs.keys());
    }
}

/** Describes a VM that has no runner yet, with the slots of those that have one. */
const toStartingVm = (
    id: string,
    { dataCentre, machineClass, market }: Pick<Vm, "dataCentre" | "machineClass" | "market">,
    runners: readonly Runner[],
): FleetVm => ({
    id,
    dataCentre,
    machineClass,
    market,
    slots: runners[0]?.slots ?? defaultSlots,
    load: 0,
    pricePerHour: 0,
    isLeaving: false,
});

const toTarget = (subject: string): DutyTarget => ({ duty: "fleet", subject });

const createLoadOrder = (fencing: number, runnerId: string, model: string): EngineOrder => ({
    orderId: `${fencing}-${runnerId}-${model}`,
    fencing,
    kind: "load-model",
    value: model,
});

/** Name of the fleet manager service. */
export const fleetManagerName = createServiceName<FleetManager>("fleet-manager");
