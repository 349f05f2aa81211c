import { FleetManager } from "../src/fleet/FleetManager";
import type { FleetPolicy } from "../src/fleet/types";
import { FakeClock } from "../src/kernel/FakeClock";
import { SeededRandom } from "../src/kernel/SeededRandom";
import { Lease } from "../src/leases/Lease";
import type { GossipMap } from "../src/peers/GossipMap";
import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { Cloud, DutyStages, TableService, Vm, VmRequest } from "../src/platform/types";
import { EventLog } from "../src/telemetry/EventLog";
import { eventKinds } from "../src/telemetry/eventKinds";
import type { Runner } from "../src/upstreams/Runner";
import type { EngineClient, EngineOrder, OrderOutcome } from "../src/upstreams/types";
import type { UpstreamRegistry } from "../src/upstreams/UpstreamRegistry";
import type { FencedCall } from "./platform/FencedCloudStandIn";
import { SimulatedVmClock } from "./SimulatedVmClock";

/** Times of the model, as in the product's adapters, in milliseconds. */
const times = { call: 2_000, storeCall: 100, connect: 20, cycle: 500, poll: 20 } as const;

const service = "llm";
const offer = { dataCentre: "dc-a", machineClass: "gpu-a", market: "on-demand", pricePerHour: 1 } as const;
const drainedVm = "vm-drained";
const idleVm = "vm-idle";

/** Asks for one more VM in each cycle, so that each cycle has an order. */
const growingPolicy: FleetPolicy = {
    name: "growing",
    plan: () => ({ requests: [offer], releases: [], survivesDataCentreLoss: true }),
};

/** Gives one VM up in each cycle. */
const shrinkingPolicy: FleetPolicy = {
    name: "shrinking",
    plan: () => ({ requests: [], releases: [idleVm], survivesDataCentreLoss: true }),
};

/** Simulated node with a fleet manager, and its paths to the store, the cloud and the engine. */
export class FleetManagerNode {
    readonly clock: SimulatedVmClock;
    isStoreCut = false;
    /** Whether bytes to the cloud and to the engine stand still on the way. */
    isPathHeld = false;
    /** Whether calls take effect without an answer. */
    losesAnswers = false;
    private readonly events: EventLog;
    private readonly manager: FleetManager;

    constructor(private readonly model: FleetManagerModel, readonly nodeId: string) {
        this.clock = new SimulatedVmClock(model.world);
        this.events = new EventLog({ node: nodeId, clock: this.clock });
        this.manager = this.createManager();
    }

    start(): Promise<void> {
        return this.manager.start();
    }

    async stop(): Promise<void> {
        await this.manager.stop();
    }

    private createManager(): FleetManager {
        const { clock, events, nodeId, model } = this;
        const runner = this.createRunner();
        return new FleetManager({
            nodeId,
            clock,
            events,
            gossip: {
                listValues: () => [],
                get: (key: string) =>
                    key === `drain/${drainedVm}` && !model.isShrinking ? { vmId: drainedVm } : undefined,
                set: (key: string, value: unknown) => {
                    if (key === `drain/${idleVm}` && value !== undefined) {
                        model.recordDrain(nodeId, this.readAcquiredFencing());
                    }
                },
            } as unknown as GossipMap,
            registry: { listRunners: () => [runner] } as unknown as UpstreamRegistry,
            cloud: this.createCloud(),
            lease: new Lease({
                duty: "fleet",
                nodeId,
                tables: this.createTables(),
                clock,
                random: model.random,
                events,
                isCandidate: () => true,
            }),
            policy: model.isShrinking ? shrinkingPolicy : growingPolicy,
            readDeclaration: () => ({
                services: [{
                    name: service,
                    kind: "model",
                    models: ["m"],
                    checksFencing: false,
                    defaultClass: "c",
                }],
                classes: [],
                clientAccounts: [],
            }),
            readQueueSizes: () => new Map(),
            minVms: 1,
            cycleMs: times.cycle,
            callTimeoutMs: times.call,
        });
    }

    private createRunner(): Runner {
        const vm = { id: drainedVm, service, ...offer } as unknown as Vm;
        const engine = {
            readState: async () => ({ models: [], role: "serve", fencing: 0 }),
            sendOrder: async (order: EngineOrder, stages: DutyStages): Promise<OrderOutcome> => {
                await this.send("/orders", order.fencing, stages);
                return "refused";
            },
        } as unknown as EngineClient;
        return {
            id: drainedVm,
            vm,
            slots: 8,
            estimatedLoad: 0,
            isLeaving: false,
            client: { engine },
        } as unknown as Runner;
    }

    private createCloud(): Cloud {
        return {
            listVms: async () => [],
            listNotices: async () => [],
            listOffers: async () => [],
            requestVm: async (request: VmRequest, stages: DutyStages) => {
                await this.send("/vms", Number(request.token.split("-")[1]), stages);
                return undefined;
            },
            releaseVm: (_vmId: string, stages: DutyStages) =>
                this.send("/releases", this.readAcquiredFencing(), stages),
        };
    }

    /** Number of the holding that this node acquired last. */
    private readAcquiredFencing(): number {
        const acquired = this.events.list().filter(({ event }) => event === eventKinds.leaseAcquired.number);
        return Number(acquired.at(-1)?.fields.fencing);
    }

    private createTables(): TableService {
        const callStore = async <T>(call: () => Promise<T>): Promise<T> => {
            await this.clock.sleep(times.storeCall);
            if (this.isStoreCut) {
                throw new StoreError("no answer", "unknown");
            }
            return call();
        };
        const { tables } = this.model;
        return {
            transact: operations => callStore(() => tables.transact(operations)),
            read: addresses => callStore(() => tables.read(addresses)),
            list: (...query) => callStore(() => tables.list(...query)),
        };
    }

    /** Sends a call in steps. Its bytes arrive unless it was given up, and its connection reset, before. */
    private async send(path: string, fencing: number, stages: DutyStages): Promise<void> {
        const endMs = this.clock.readMonotonicMs() + times.call;
        await this.clock.sleep(times.connect);
        await stages.onConnected();
        stages.onWrite();
        const isReset = (): boolean => this.clock.readMonotonicMs() >= endMs || stages.signal.aborted;
        let isAnswered = false;
        void this.deliver(isReset).then(hasArrived => {
            if (hasArrived) {
                this.model.receive(this.nodeId, path, fencing);
                isAnswered = !this.losesAnswers;
            }
        });
        while (!isAnswered) {
            if (isReset()) {
                throw new StoreError("no answer", "unknown");
            }
            await this.clock.sleep(times.poll);
        }
    }

    private async deliver(isReset: () => boolean): Promise<boolean> {
        const { world } = this.model;
        await world.sleep(times.connect);
        while ((this.isPathHeld || this.clock.isSuspended) && !isReset()) {
            await world.sleep(times.poll);
        }
        return !isReset();
    }
}

/** Two nodes that compete for the lease on the fleet, and what arrives at the cloud and at an engine. */
export class FleetManagerModel {
    readonly world = new FakeClock();
    readonly random: SeededRandom;
    readonly tables = new MemoryTableService();
    readonly nodes: readonly FleetManagerNode[];
    /** Orders in the order of their arrival. */
    readonly arrivals: FencedCall[] = [];
    /** Marks of VMs as draining, in the order in which they were set. */
    readonly drains: FencedCall[] = [];

    /**
     * @param seed - seed of the model
     * @param isShrinking - whether VMs are given up, in place of orders for more and releases; default false
     */
    constructor(seed: number, readonly isShrinking = false) {
        this.random = new SeededRandom(seed);
        this.nodes = ["a", "b"].map(nodeId => new FleetManagerNode(this, nodeId));
    }

    async start(): Promise<void> {
        await Promise.all(this.nodes.map(node => node.start()));
    }

    async stop(): Promise<void> {
        const stopped = Promise.all(this.nodes.map(node => node.stop()));
        await this.world.advance(times.call);
        await stopped;
    }

    /** Finds the node whose order arrived last. */
    findLastHolder(): FleetManagerNode {
        return this.nodes.find(({ nodeId }) => nodeId === this.arrivals.at(-1)!.holder)!;
    }

    /** Records the arrival of an order. */
    receive(holder: string, path: string, fencing: number): void {
        this.arrivals.push(this.createRecord(holder, path, fencing));
    }

    /** Records that a VM was marked as draining. */
    recordDrain(holder: string, fencing: number): void {
        this.drains.push(this.createRecord(holder, "/drains", fencing));
    }

    private createRecord(holder: string, path: string, fencing: number): FencedCall {
        return { atMs: this.world.readMonotonicMs(), holder, path, fencing, body: { service, zone: path } };
    }
}
