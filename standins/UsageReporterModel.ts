import type { ClusterClock } from "../src/feeds/ClusterClock";
import { StoreEra } from "../src/feeds/StoreEra";
import { FakeClock } from "../src/kernel/FakeClock";
import { SeededRandom } from "../src/kernel/SeededRandom";
import { Lease } from "../src/leases/Lease";
import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { DutyStages, FencedCloud, TableService } from "../src/platform/types";
import { EventLog } from "../src/telemetry/EventLog";
import type { UsageReport } from "../src/usage/types";
import { UsageLedger } from "../src/usage/UsageLedger";
import { UsageReporter } from "../src/usage/UsageReporter";
import type { FencedCall } from "./platform/FencedCloudStandIn";
import { SimulatedVmClock } from "./SimulatedVmClock";
import { maxLateEffectMs, TroubledStorePath } from "./TroubledStorePath";

/** Times of the model, as in the platform's adapters, in milliseconds. */
const times = {
    window: 5_000,
    due: 10_000,
    lease: 3_600,
    call: 800,
    poll: 20,
    request: 300,
    copy: 250,
} as const;

/** The store that all nodes share, with copies of its earlier states. */
class RestorableStore {
    readonly memory = new MemoryTableService();
    era = 1;
    private copies = [this.memory.takeCopy()];

    keepCopy(): void {
        this.copies.push(this.memory.takeCopy());
    }

    /** Restores the state of some time ago, or the first one. Later states are forgotten. */
    restore(agoMs: number): void {
        const index = Math.max(0, this.copies.length - Math.ceil(agoMs / times.copy));
        this.memory.restore(this.copies[index]);
        this.copies = this.copies.slice(0, index + 1);
        this.era += 1;
    }
}

/** Simulated node that counts requests of its own and reports the usage of all windows while it holds the lease. */
export class UsageReporterNode {
    readonly clock: SimulatedVmClock;
    readonly storePath: TroubledStorePath;
    /** Whether the cloud's answers are lost. */
    losesAnswers = false;
    private generation = 0;
    private lease: Lease | undefined;
    private reporter: UsageReporter | undefined;
    private storeEra = new StoreEra();

    constructor(private readonly model: UsageReporterModel, readonly nodeId: string) {
        this.clock = new SimulatedVmClock(model.world);
        const { world, random } = model;
        this.storePath = new TroubledStorePath({ store: model.store, world, random, clock: this.clock });
    }

    /** Starts a process; one that runs already ends, with all that it knows. */
    async startProcess(): Promise<void> {
        this.stop();
        const { clock, model, nodeId } = this;
        this.storeEra = new StoreEra();
        const events = new EventLog({ node: nodeId, clock, maxRetainedEvents: 0 });
        const tables = this.createTables();
        const clusterClock = { readMs: () => model.world.readWallMs() } as ClusterClock;
        const sums = { registerContributor: () => {}, readOthers: () => new Map<string, number>() };
        const ledger = new UsageLedger({ clusterClock, sums, windowMs: times.window });
        this.lease = new Lease({
            duty: "cloud",
            nodeId,
            tables,
            storeEra: this.storeEra,
            clock,
            random: model.random,
            events,
            isCandidate: () => true,
            durationMs: times.lease,
            takeoverDelayMs: times.call,
        });
        this.reporter = new UsageReporter({
            ledger,
            clusterClock,
            lease: this.lease,
            cloud: this.createCloud(),
            tables,
            storeEra: this.storeEra,
            clock,
            events,
            dueMs: times.due,
            callTimeoutMs: times.call,
        });
        void this.countRequests(ledger, this.generation);
        await this.lease.start();
        await this.reporter.start();
    }

    /** Ends the process as a loss of power does. */
    stop(): void {
        this.generation += 1;
        void this.reporter?.stop();
        void this.lease?.stop();
    }

    /** Ends all that ails the node and its paths. */
    recover(): void {
        this.clock.resume();
        this.storePath.recover();
        this.losesAnswers = false;
    }

    private async countRequests(ledger: UsageLedger, generation: number): Promise<void> {
        while (this.generation === generation) {
            ledger.recordRequest(this.nodeId);
            await this.clock.sleep(this.model.random.drawInt(times.request));
        }
    }

    /** Store of one process, which ends with it. */
    private createTables(): TableService {
        const { generation, storeEra } = this;
        return this.storePath.createTables({ storeEra, isRunning: () => this.generation === generation });
    }

    private createCloud(): FencedCloud {
        const { generation } = this;
        return {
            reportUsage: (report, fencing, stages) => this.send(report, fencing, stages, generation),
            orderUpstreams: async () => true,
        };
    }

    /** Sends a report in steps. It arrives unless it was given up, and its connection reset, before. */
    private async send(
        report: UsageReport,
        fencing: number,
        stages: DutyStages,
        generation: number,
    ): Promise<void> {
        const { random, world } = this.model;
        const isReset = (): boolean => stages.signal.aborted || this.generation !== generation;
        try {
            await stages.onConnected();
            stages.onWrite();
        }
        catch (error) {
            throw new StoreError((error as Error).message, "none");
        }
        await world.sleep(1 + random.drawInt(times.poll));
        if (!isReset()) {
            this.model.receive(this.nodeId, report, fencing);
        }
        while (this.losesAnswers) {
            if (isReset()) {
                throw new StoreError("no answer", "unknown");
            }
            await this.clock.sleep(times.poll);
        }
    }
}

/** Nodes that compete for the duty of usage reports, and the reports as they arrive at the cloud. */
export class UsageReporterModel {
    readonly world = new FakeClock();
    readonly random: SeededRandom;
    readonly store = new RestorableStore();
    readonly nodes: readonly UsageReporterNode[];
    /** Reports in the order of their arrival. */
    readonly arrivals: FencedCall[] = [];
    private readonly end = new AbortController();

    constructor(seed: number) {
        this.random = new SeededRandom(seed);
        this.nodes = ["a", "b", "c"].map(nodeId => new UsageReporterNode(this, nodeId));
    }

    async start(): Promise<void> {
        void this.keepCopies();
        for (const node of this.nodes) {
            await node.startProcess();
        }
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        this.end.abort();
        this.nodes.forEach(node => {
            node.recover();
            node.stop();
        });
        await this.world.advance(maxLateEffectMs);
    }

    /** Finds the node whose report arrived last; the first node before any report. */
    findLastHolder(): UsageReporterNode {
        const holder = this.arrivals.at(-1)?.holder;
        return this.nodes.find(({ nodeId }) => nodeId === holder) ?? this.nodes[0];
    }

    /** Records the arrival of a report. */
    receive(holder: string, { window, counts }: UsageReport, fencing: number): void {
        const body = { windowId: window, counts };
        this.arrivals.push({ atMs: this.world.readMonotonicMs(), holder, path: "/usage", fencing, body });
    }

    private async keepCopies(): Promise<void> {
        while (!this.end.signal.aborted) {
            this.store.keepCopy();
            await this.world.sleep(times.copy, this.end.signal);
        }
    }
}
