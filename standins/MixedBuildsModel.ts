import { StoreEra } from "../src/feeds/StoreEra";
import { FakeClock } from "../src/kernel/FakeClock";
import { SeededRandom } from "../src/kernel/SeededRandom";
import { DutyCaller } from "../src/leases/DutyCaller";
import { Lease } from "../src/leases/Lease";
import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { DutyStages, TableService } from "../src/platform/types";
import { EventLog } from "../src/telemetry/EventLog";
import type { FencedCall } from "./platform/FencedCloudStandIn";
import { EarlierLease } from "./EarlierLease";
import { SimulatedVmClock } from "./SimulatedVmClock";
import { maxLateEffectMs, TroubledStorePath } from "./TroubledStorePath";

/** Builds that a node's process may have. */
export const builds = { earlier: "earlier", present: "present" } as const;

export type Build = typeof builds[keyof typeof builds];

/** Times of the model, as in the platform's adapters, in milliseconds. */
const times = {
    lease: 3_600,
    call: 800,
    cycle: 500,
    poll: 20,
    stray: 300,
} as const;

const target = { duty: "usage", subject: "usage" } as const;

/** Calls the cloud once if the lease is held. */
type TryCall = () => Promise<void>;

/** Simulated node whose process may be replaced by one of another build. */
export class MixedBuildsNode {
    readonly clock: SimulatedVmClock;
    readonly storePath: TroubledStorePath;
    build: Build = builds.present;
    /** World time of the last recovery, in milliseconds. */
    private recoveredAtMs = -Infinity;
    private generation = 0;
    private lease: Lease | EarlierLease | undefined;
    private storeEra = new StoreEra();

    constructor(private readonly model: MixedBuildsModel, readonly nodeId: string) {
        this.clock = new SimulatedVmClock(model.world);
        const { world, random } = model;
        this.storePath = new TroubledStorePath({ store: model, world, random, clock: this.clock });
    }

    /** Starts a process of a build; one that runs already ends, with the bytes that it has sent. */
    async startProcess(build: Build): Promise<void> {
        this.stop();
        this.build = build;
        this.storeEra = new StoreEra();
        const tryCall = build === builds.present ? this.createPresent() : this.createEarlier();
        await this.lease!.start();
        void this.callRepeatedly(tryCall, this.generation);
    }

    stop(): void {
        this.generation += 1;
        void this.lease?.stop();
    }

    recover(): void {
        this.clock.resume();
        this.storePath.recover();
        this.recoveredAtMs = this.model.world.readMonotonicMs();
    }

    /** Whether the node has recovered so lately that its calls are not judged. */
    hasRecoveredLately(): boolean {
        return this.model.world.readMonotonicMs() - this.recoveredAtMs <= times.stray;
    }

    private createPresent(): TryCall {
        const { clock, generation, nodeId, storeEra } = this;
        const events = new EventLog({ node: nodeId, clock, maxRetainedEvents: 0 });
        const lease = new Lease({
            duty: "cloud",
            nodeId,
            tables: this.createTables(),
            storeEra,
            clock,
            random: this.model.random,
            events,
            isCandidate: () => true,
            durationMs: times.lease,
            takeoverDelayMs: times.call,
        });
        const caller = new DutyCaller({ lease, clock, events, callTimeoutMs: times.call });
        this.lease = lease;
        return async () => {
            await caller.call(target, async (fencing, stages) => {
                try {
                    await stages.onConnected();
                    stages.onWrite();
                }
                catch (error) {
                    throw new StoreError((error as Error).message, "none");
                }
                await this.send(fencing, generation, stages);
            });
        };
    }

    private createEarlier(): TryCall {
        const { clock, generation, nodeId, storeEra } = this;
        const lease = new EarlierLease({
            duty: "cloud",
            nodeId,
            tables: this.createTables(),
            storeEra,
            clock,
            random: this.model.random,
            durationMs: times.lease,
            takeoverDelayMs: times.call,
        });
        this.lease = lease;
        return async () => {
            const fencing = lease.readHeldFor(times.call);
            if (fencing !== undefined) {
                await this.send(fencing, generation);
            }
        };
    }

    private async callRepeatedly(tryCall: TryCall, generation: number): Promise<void> {
        while (this.generation === generation) {
            await this.clock.sleep(times.cycle);
            try {
                await tryCall();
            }
            catch {
                // The next cycle tries again.
            }
        }
    }

    private async send(fencing: number, generation: number, stages?: DutyStages): Promise<void> {
        const { random, world } = this.model;
        await world.sleep(1 + random.drawInt(times.poll));
        if (this.generation === generation && !stages?.signal.aborted) {
            this.model.receive(this, fencing);
        }
    }

    /** Store of one process, which ends with it. */
    private createTables(): TableService {
        const { generation, storeEra } = this;
        return this.storePath.createTables({ storeEra, isRunning: () => this.generation === generation });
    }
}

/** Nodes of two builds that compete for the lease on the cloud's duties during a release, and the cloud's view of them. */
export class MixedBuildsModel {
    readonly world = new FakeClock();
    readonly random: SeededRandom;
    readonly memory = new MemoryTableService();
    readonly nodes: readonly MixedBuildsNode[];
    /** Calls that are judged, in the order of their arrival. */
    readonly arrivals: FencedCall[] = [];
    /** Changes of the holder, by the builds before and after. */
    readonly takeovers = new Map<string, number>();
    era = 1;
    private readonly copies = [this.memory.takeCopy()];
    private lastHolder: MixedBuildsNode | undefined;
    private lastBuild: Build | undefined;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
        this.nodes = ["a", "b", "c"].map(nodeId => new MixedBuildsNode(this, nodeId));
    }

    /** Starts nodes of the present and of the earlier build by turns. */
    async start(): Promise<void> {
        for (const [index, node] of this.nodes.entries()) {
            await node.startProcess(index % 2 === 0 ? builds.earlier : builds.present);
        }
    }

    async stop(): Promise<void> {
        this.nodes.forEach(node => {
            node.recover();
            node.stop();
        });
        await this.world.advance(maxLateEffectMs);
    }

    /** Finds the node whose call arrived last; the first node before any call. */
    findLastHolder(): MixedBuildsNode {
        return this.lastHolder ?? this.nodes[0];
    }

    keepCopy(): void {
        this.copies.push(this.memory.takeCopy());
    }

    /** Restores the copy that was kept some copies ago. */
    restore(copiesAgo: number): void {
        this.memory.restore(this.copies.at(-copiesAgo) ?? this.copies[0]);
        this.era += 1;
    }

    /** Records the arrival of a call at the cloud. */
    receive(node: MixedBuildsNode, fencing: number): void {
        if (this.lastHolder && this.lastHolder !== node) {
            const name = `${this.lastBuild} to ${node.build}`;
            this.takeovers.set(name, (this.takeovers.get(name) ?? 0) + 1);
        }
        this.lastHolder = node;
        this.lastBuild = node.build;
        if (!node.hasRecoveredLately()) {
            const atMs = this.world.readMonotonicMs();
            this.arrivals.push({ atMs, holder: node.nodeId, path: "/usage", body: {}, fencing });
        }
    }
}
