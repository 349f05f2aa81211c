import { StoreEra } from "../src/feeds/StoreEra";
import { FakeClock } from "../src/kernel/FakeClock";
import { SeededRandom } from "../src/kernel/SeededRandom";
import { DutyCaller } from "../src/leases/DutyCaller";
import { Lease } from "../src/leases/Lease";
import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { DutyStages } from "../src/platform/types";
import { EventLog } from "../src/telemetry/EventLog";
import type { FencedCall } from "./platform/FencedCloudStandIn";
import { SimulatedVmClock } from "./SimulatedVmClock";
import { maxLateEffectMs, TroubledStorePath } from "./TroubledStorePath";

/** Times of the model, as in the platform's adapters, in milliseconds. */
const times = {
    lease: 3_600,
    call: 800,
    cycle: 500,
    poll: 20,
    stray: 300,
} as const;

const departedShare = 0.5; // of the calls; no reset takes them back
const slowConnectionShare = 0.2; // of the calls; the connections of the others open at once
const subjects = [
    { path: "/usage", target: { duty: "usage", subject: "usage" }, body: {} },
    {
        path: "/scale",
        target: { duty: "fleet", subject: "llm zone-a" },
        body: { service: "llm", zone: "zone-a" },
    },
] as const;

type Subject = typeof subjects[number];

/** What the sender of a call does when the call arrives. */
export const senderStates = { running: "running", paused: "paused", killed: "killed" } as const;

export type SenderState = typeof senderStates[keyof typeof senderStates];

/** A call as it arrived, with what a cloud cannot know. */
export interface ModelArrival extends FencedCall {
    /** World time at which it was written, in milliseconds. */
    readonly writtenAtMs: number;
    readonly sender: SenderState;
}

/** The store that all nodes share. */
class SharedStore {
    readonly memory = new MemoryTableService();
    era = 1;
    private readonly copies = [this.memory.takeCopy()];

    keepCopy(): void {
        this.copies.push(this.memory.takeCopy());
    }

    /** Restores the copy that was kept some copies ago. */
    restore(copiesAgo: number): void {
        this.memory.restore(this.copies.at(-copiesAgo) ?? this.copies[0]);
        this.era += 1;
    }
}

/** Simulated node: its clocks, its paths to the store and to the cloud, and its process. */
export class ModelNode {
    readonly clock: SimulatedVmClock;
    readonly storePath: TroubledStorePath;
    private isCloudHeld = false;
    /** Longest time for which the path to the cloud delays bytes, in milliseconds. */
    cloudDelayMs = 20;
    /** World time of the last recovery of the node or of its path to the cloud. */
    private recoveredAtMs = -Infinity;
    private generation = 0;
    /** Processes that were killed while the system kept their connections. */
    private readonly killedGenerations = new Set<number>();
    private lease: Lease | undefined;
    private caller: DutyCaller | undefined;

    constructor(private readonly model: LeaseholderModel, readonly nodeId: string) {
        this.clock = new SimulatedVmClock(model.world);
        const { store, world, random } = model;
        this.storePath = new TroubledStorePath({ store, world, random, clock: this.clock });
    }

    /** Starts a process; one that runs already loses power, with the bytes that it has sent. */
    async startProcess(): Promise<void> {
        this.stop();
        const { clock, generation } = this;
        const storeEra = new StoreEra();
        const events = new EventLog({ node: this.nodeId, clock, maxRetainedEvents: 0 });
        this.lease = new Lease({
            duty: "cloud",
            nodeId: this.nodeId,
            tables: this.storePath.createTables({
                storeEra,
                isRunning: () => this.generation === generation,
            }),
            storeEra,
            clock,
            random: this.model.random,
            events,
            isCandidate: () => true,
            durationMs: times.lease,
            takeoverDelayMs: times.call,
        });
        this.caller = new DutyCaller({ lease: this.lease, clock, events, callTimeoutMs: times.call });
        await this.lease.start();
        subjects.forEach(subject => void this.callRepeatedly(subject, generation));
    }

    /** Kills the process and starts another; the system goes on sending what the first has written. */
    async killProcess(): Promise<void> {
        this.killedGenerations.add(this.generation);
        await this.startProcess();
    }

    stop(): void {
        this.generation += 1;
        void this.lease?.stop();
    }

    holdCloud(): void {
        this.isCloudHeld = true;
    }

    /** Ends all that ails the node and its paths. */
    recover(): void {
        this.clock.resume();
        this.isCloudHeld = false;
        this.storePath.recover();
        this.cloudDelayMs = 20;
        this.recoveredAtMs = this.model.world.readMonotonicMs();
    }

    private async callRepeatedly(subject: Subject, generation: number): Promise<void> {
        while (this.generation === generation) {
            await this.clock.sleep(times.cycle);
            try {
                await this.caller!.call(
                    subject.target,
                    (fencing, stages) => this.send(subject, fencing, stages, generation),
                );
            }
            catch {
                // The next cycle tries again.
            }
        }
    }

    /** Sends a call as {@link sendStagedJson} does: nothing is written, and its connection is reset, once it is given up. */
    private async send(
        subject: Subject,
        fencing: number,
        stages: DutyStages,
        generation: number,
    ): Promise<void> {
        const { random } = this.model;
        const endMs = this.clock.readMonotonicMs() + times.call;
        if (random.drawFloat() < slowConnectionShare) {
            await this.clock.sleep(random.drawInt(this.cloudDelayMs));
        }
        const isOver = (): boolean =>
            this.clock.readMonotonicMs() >= endMs || this.generation !== generation || stages.signal.aborted;
        try {
            await stages.onConnected();
            if (isOver()) {
                throw new Error("given up");
            }
            stages.onWrite();
        }
        catch (error) {
            throw new StoreError((error as Error).message, "none");
        }
        let hasArrived = false;
        let wasReset = false;
        const writtenAtMs = this.model.world.readMonotonicMs();
        const isKilled = (): boolean => this.killedGenerations.has(generation);
        const isReset = (): boolean => wasReset || (isOver() && !isKilled() && !this.clock.isPaused);
        void this.deliver(isReset).then(arrived => {
            hasArrived = arrived;
            if (arrived) {
                const { path, body } = subject;
                const sender = this.describeSender(isKilled());
                this.model.receive(this, { path, body, fencing, writtenAtMs, sender });
            }
        });
        while (!hasArrived) {
            if (isOver()) {
                wasReset = !isKilled();
                throw new StoreError("no answer", "unknown");
            }
            await this.clock.sleep(times.poll);
        }
    }

    private describeSender(isKilled: boolean): SenderState {
        if (isKilled) {
            return senderStates.killed;
        }
        return this.clock.isPaused ? senderStates.paused : senderStates.running;
    }

    /**
     * Carries bytes to the cloud; returns false if their connection was reset while they were in the sender's system. The
     * others wait in a queue on the way, or for the cloud to read them.
     */
    private async deliver(isReset: () => boolean): Promise<boolean> {
        const { world, random } = this.model;
        const hasDeparted = random.drawFloat() < departedShare;
        await world.sleep(1 + random.drawInt(this.cloudDelayMs));
        if (hasDeparted) {
            return true;
        }
        while ((this.isCloudHeld || this.clock.isSuspended) && !isReset()) {
            await world.sleep(times.poll);
        }
        return !isReset();
    }

    /** Whether the node or its path has recovered so lately that its calls are not judged. */
    hasRecoveredLately(): boolean {
        return this.model.world.readMonotonicMs() - this.recoveredAtMs <= times.stray;
    }
}

/** Nodes that compete for the lease on the cloud's duties, and the cloud as it sees their calls arrive. */
export class LeaseholderModel {
    readonly world = new FakeClock();
    readonly random: SeededRandom;
    readonly store = new SharedStore();
    readonly nodes: readonly ModelNode[];
    /** Calls that are judged, in the order of their arrival. */
    readonly arrivals: ModelArrival[] = [];
    private lastHolderId: string | undefined;

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
        this.nodes = ["a", "b", "c"].map(nodeId => new ModelNode(this, nodeId));
    }

    async start(): Promise<void> {
        for (const node of this.nodes) {
            await node.startProcess();
        }
    }

    /** Finds the node whose call arrived last; the first node before any call. */
    findLastHolder(): ModelNode {
        return this.nodes.find(({ nodeId }) => nodeId === this.lastHolderId) ?? this.nodes[0];
    }

    /** Lets all processes end. */
    async stop(): Promise<void> {
        this.nodes.forEach(node => {
            node.recover();
            node.stop();
        });
        await this.world.advance(maxLateEffectMs);
    }

    /** Records the arrival of a call at the cloud. */
    receive(node: ModelNode, call: Omit<ModelArrival, "atMs" | "holder">): void {
        this.lastHolderId = node.nodeId;
        if (!node.hasRecoveredLately()) {
            this.arrivals.push({ ...call, atMs: this.world.readMonotonicMs(), holder: node.nodeId });
        }
    }

    /** Lists the arrivals of calls whose sender had given them up by then, or would have if it ran. */
    listLate(): readonly ModelArrival[] {
        return this.arrivals.filter(({ atMs, writtenAtMs }) => atMs - writtenAtMs > times.call);
    }
}
