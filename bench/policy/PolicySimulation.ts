import { FakeClock } from "../../src/kernel/FakeClock";
import type { WorkClass } from "../../src/declaration/declarationSchema";
import { FleetManager } from "../../src/fleet/FleetManager";
import type { FleetVm } from "../../src/fleet/types";
import { SeededRandom } from "../../src/kernel/SeededRandom";
import { Lease } from "../../src/leases/Lease";
import { GossipMap } from "../../src/peers/GossipMap";
import type { VmOffer } from "../../src/platform/types";
import { UpstreamReclaim } from "../../src/reclaim/UpstreamReclaim";
import { toFailure } from "../../src/results/toFailure";
import { ChatRequests } from "../../src/streams/ChatRequests";
import type { RequestRecord } from "../../src/streams/RequestRecord";
import { ServiceDispatchers } from "../../src/streams/ServiceDispatchers";
import { StreamMemory } from "../../src/streams/StreamMemory";
import { EventLog } from "../../src/telemetry/EventLog";
import { HybridClock } from "../../src/telemetry/HybridClock";
import { Invariants } from "../../src/telemetry/Invariants";
import { EntryMetrics } from "../../src/telemetry/EntryMetrics";
import { UpstreamRegistry } from "../../src/upstreams/UpstreamRegistry";
import { ObservableValue } from "../../src/_lib/ObservableValue";
import { FaultyTableService } from "../../standins/FaultyTableService";
import { FakeEngine } from "./FakeEngine";
import { FakeCloud } from "./FakeCloud";
import type { Deployment, PolicySet } from "./types";

/** Work class of all simulated requests; its latency targets are those of the project's requirements. */
export const benchClass: WorkClass = {
    name: "drafting",
    latency: { firstTokenMs: 1_100, betweenTokensMs: 40, wholeMs: 30_000 },
    durability: "survives-reclaim",
    urgency: "interactive",
};

/** Capacity and speed of every simulated engine; times in milliseconds. */
export const engineSpeed = { slots: 16, stepMs: 18, prefillMsPerToken: 0.15 } as const;

interface SimulatedNode {
    readonly chatRequests: ChatRequests;
    readonly registry: UpstreamRegistry;
    readonly dispatchers: ServiceDispatchers;
    readonly reclaim: UpstreamReclaim | undefined;
}

const orderTimeoutMs = 2_000;
const onDemandPriceFactor = 3; // price of an on-demand VM over that of a reclaimable one
const vmStartMs = 12_000;
const reportLagMs = 700;
const cacheLagMs = 1_500;
const cacheBlocks = 400;
const loadPollMs = 250;
const unlimited = 1_000_000_000;

/**
 * Simulates one deployment in virtual time: the product's routing, queues, streams and fleet management, with fake
 * engines and a fake cloud.
 */
export class PolicySimulation {
    readonly clock = new FakeClock({ eventLoopTurns: 1 });
    /**
     * Random source of the arrivals only. Policies draw from another source, hence all of them get the same requests.
     */
    readonly arrivalRandom: SeededRandom;
    private readonly random: SeededRandom;
    readonly cloud: FakeCloud;
    readonly tables: FaultyTableService;
    /** Name and detail of every broken invariant. */
    readonly brokenInvariants: string[] = [];
    private readonly gossip: GossipMap;
    private readonly nodes: SimulatedNode[] = [];
    private readonly offers: readonly VmOffer[];
    private readonly producedTokens = new Map<string, number>();
    private fleet: FleetManager | undefined;

    constructor(private readonly deployment: Deployment, private readonly policies: PolicySet, seed: number) {
        this.arrivalRandom = new SeededRandom(seed);
        this.random = new SeededRandom(seed + 1);
        this.gossip = new GossipMap({ nodeId: "bench", hybridClock: new HybridClock(this.clock) });
        this.offers = deployment.dataCentres.flatMap((dataCentre, index): VmOffer[] => {
            const pricePerHour = deployment.pricesPerHour[index];
            const machineClass = "gpu-a";
            return [
                { dataCentre, machineClass, market: "reclaimable", pricePerHour },
                {
                    dataCentre,
                    machineClass,
                    market: "on-demand",
                    pricePerHour: pricePerHour * onDemandPriceFactor,
                },
            ];
        });
        this.cloud = new FakeCloud({
            clock: this.clock,
            gossip: this.gossip,
            offers: this.offers,
            vmStartMs,
            createEngine: () =>
                new FakeEngine({
                    ...engineSpeed,
                    clock: this.clock,
                    cacheBlocks,
                    reportLagMs,
                    cacheLagMs,
                    producedTokens: this.producedTokens,
                }),
        });
        this.tables = new FaultyTableService({
            clock: this.clock,
            random: this.random,
            faults: { outage: 0, lostAnswer: 0, lateEffect: 0 },
        });
    }

    /** Starts the initial fleet, the nodes and the fleet manager. */
    async start(): Promise<void> {
        this.startInitialFleet();
        for (let index = 0; index < this.deployment.nodeCount; index += 1) {
            this.nodes.push(await this.startNode(`entry-${index}`));
        }
        this.fleet = this.createFleetManager();
        await this.fleet.start();
        await this.clock.advance(1_000);
    }

    async stop(): Promise<void> {
        const stopped = Promise.all([
            this.fleet!.stop(),
            ...this.nodes.flatMap(
                node => [node.chatRequests.stop(), node.registry.stop(), node.reclaim?.stop()],
            ),
        ]);
        await this.clock.advance(1_000);
        await stopped;
    }

    /**
     * Sends a chat request to a random node.
     *
     * @param accountId - client account that sends the request
     * @param prompt - text of the prompt
     * @param maxTokens - length of the answer
     * @returns the request's record, or the result code's name when it was refused
     */
    async sendRequest(accountId: string, prompt: string, maxTokens: number): Promise<RequestRecord | string> {
        const node = this.nodes[this.random.drawInt(this.nodes.length)];
        try {
            const body = {
                model: "llm",
                messages: [{ role: "user", content: prompt }],
                max_tokens: maxTokens,
            };
            return await node.chatRequests.accept({ accountId, service: "llm", workClass: benchClass, body });
        }
        catch (error) {
            return toFailure(error).resultCode.name;
        }
    }

    /** Counts the tokens that engines computed more than once, in prefill and decode. */
    countRecomputedTokens(): number {
        return [...this.cloud.engines.values()].reduce(
            (sum, engine) => sum + engine.stats.recomputedTokens,
            0,
        );
    }

    /** Adds VMs until the fleet policy requests no more for the deployment's mean load. */
    private startInitialFleet(): void {
        const policy = this.policies.createFleetPolicy();
        const vms: FleetVm[] = [];
        const neededSlots = computeNeededSlots(this.deployment);
        for (;;) {
            const { requests } = policy.plan({
                vms,
                offers: this.offers,
                neededSlots,
                slotsPerVm: engineSpeed.slots,
                reclaimsPerHour: new Map(),
                refusedOffers: new Set(),
                minVms: this.deployment.minRunners,
            });
            if (requests.length === 0) {
                return;
            }
            for (const offer of requests) {
                const { id } = this.cloud.addVm(offer.dataCentre, offer.market);
                vms.push({ ...offer, id, slots: engineSpeed.slots, load: 0, isLeaving: false });
            }
        }
    }

    private async startNode(nodeId: string): Promise<SimulatedNode> {
        const { clock, gossip, random } = this;
        const events = new EventLog({ node: nodeId, clock, maxRetainedEvents: 16 });
        const invariants = new Invariants({
            events,
            onBroken: (name, detail) => this.brokenInvariants.push(`${name}: ${detail}`),
        });
        const registry = new UpstreamRegistry({
            nodeId,
            clock,
            events,
            gossip,
            readServiceKind: () => "model",
            loadPollMs,
            countMembers: () => this.deployment.nodeCount,
            clients: {
                createEngineClient: vm => this.cloud.engines.get(vm.id)!,
                createPlainClient: () => {
                    throw new Error("the policy simulation has no plain services");
                },
            },
        });
        const dispatchers = new ServiceDispatchers({
            clock,
            random,
            registry,
            maxQueuedRequests: 2_000,
            maxQueuedBytes: unlimited,
            createPolicy: () => this.policies.createRoutingPolicy(random),
        });
        const chatRequests = new ChatRequests({
            nodeId,
            clock,
            random,
            events,
            invariants,
            metrics: new EntryMetrics(),
            memory: new StreamMemory(unlimited),
            configuration: { current: new ObservableValue(undefined) },
            registry,
            dispatchers,
            keptRequests: { store: async () => "stored", finish: async () => {} },
            recoveryPolicy: this.policies.recoveryPolicy,
            streamSilenceMs: 4_000,
            resumeWindowMs: 1_000,
        });
        await registry.start();
        await chatRequests.start();
        const reclaim = this.policies.movesStreams
            ? new UpstreamReclaim({ clock, events, registry, chatRequests })
            : undefined;
        await reclaim?.start();
        return { chatRequests, registry, dispatchers, reclaim };
    }

    private createFleetManager(): FleetManager {
        const { clock, random, gossip } = this;
        const [node] = this.nodes;
        const events = new EventLog({ node: "entry-0", clock, maxRetainedEvents: 16 });
        const lease = new Lease({
            duty: "fleet",
            nodeId: "entry-0",
            tables: this.tables,
            clock,
            random,
            events,
            isCandidate: () => true,
        });
        return new FleetManager({
            nodeId: "entry-0",
            clock,
            events,
            gossip,
            registry: node.registry,
            cloud: this.cloud,
            lease,
            policy: this.policies.createFleetPolicy(),
            readDeclaration: () => ({
                classes: [benchClass],
                services: [{
                    name: "llm",
                    kind: "model",
                    checksFencing: true,
                    defaultClass: "drafting",
                    models: [],
                }],
                clientAccounts: [],
            }),
            readQueueSizes: () => node.dispatchers.readQueueSizes(),
            minVms: this.deployment.minRunners,
            callTimeoutMs: orderTimeoutMs,
        });
    }
}

/** Computes the number of slots that the mean load occupies, with 15 % headroom. */
export const computeNeededSlots = (deployment: Deployment): number => {
    const headroom = 1.15;
    return deployment.requestsPerSecond * computeServiceSeconds(deployment) * headroom;
};

/**
 * Computes the mean time for which a request occupies a slot at a load just within the latency targets: each token
 * takes 1.6 times the base step, and half of the prompt is prefilled.
 *
 * @returns seconds
 */
export const computeServiceSeconds = (deployment: Deployment): number => {
    const promptTokens = (deployment.sharedPromptCharacters + deployment.uniquePromptCharacters) / 4;
    const stepMs = engineSpeed.stepMs * 1.6;
    return (promptTokens * engineSpeed.prefillMsPerToken * 0.5 + deployment.meanAnswerTokens * stepMs)
        / 1_000;
};
