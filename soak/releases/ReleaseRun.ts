import { get } from "node:http";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SeededRandom } from "../../src/kernel/SeededRandom";
import type { FencedCall } from "../../standins/platform/FencedCloudStandIn";
import { listAmbiguousReports } from "../../standins/platform/listAmbiguousReports";
import { listFencingBreaches } from "../../standins/platform/listFencingBreaches";
import { ServingTestbed } from "../../standins/platform/ServingTestbed";
import type { StoreCopy } from "../../standins/platform/StoreStandIn";
import { ReleasedNode } from "./ReleasedNode";

/** Options of {@link ReleaseRun}. */
export interface ReleaseRunOptions {
    readonly seed: number;
    /** Number of troubles, one after another. */
    readonly rounds: number;
    /** Paths of the programs of the builds, each a bundle. */
    readonly programs: readonly string[];
    /** Number of nodes. Node i starts with the program i modulo their number. */
    readonly nodeCount: number;
}

/** What a run has counted. */
export interface ReleaseRunResult {
    readonly calls: number;
    /** Calls that are not judged, as they arrived right after a recovery of their sender. */
    readonly stray: number;
    /** Requests that were sent, and those that failed, as to a node that is down. */
    readonly requests: number;
    readonly failedRequests: number;
    /** Changes of the holder, by the programs before and after. */
    readonly takeovers: ReadonlyMap<string, number>;
    readonly breaches: readonly string[];
    /** What happened, one line each, with the time of the arrivals' clock. */
    readonly log: readonly string[];
}

const leaseMs = 2_000;
const bounds = { leaseMs, usageWindowS: 1, usageLateS: 6, graceS: 2 } as const;
const strayMs = 300;
const holderTimeoutMs = 20_000;
const pollMs = 20;
const requestMs = 80;
const copyMs = 500;
const keptCopies = 8;

const troubles = [
    "SIGTERM",
    "SIGKILL",
    "freeze",
    "hold-store",
    "hold-cloud",
    "cut-off",
    "restore",
    "restore-and-kill",
] as const;

type Trouble = typeof troubles[number];

/** Holder of one call, with the program that it ran then. */
interface ProgramCall {
    readonly call: FencedCall;
    readonly program: string;
}

/** Nodes of several builds that hold the lease on the cloud's duties in turns, while something happens to the holder. */
export class ReleaseRun {
    private readonly testbed = new ServingTestbed();
    private readonly random: SeededRandom;
    private readonly folder = mkdtempSync(join(tmpdir(), "releases-"));
    private readonly nodes: ReleasedNode[] = [];
    private readonly copies: StoreCopy[] = [];
    private readonly calls: ProgramCall[] = [];
    private requests = 0;
    private failedRequests = 0;
    private readonly log: string[] = [];

    constructor(private readonly options: ReleaseRunOptions) {
        this.random = new SeededRandom(options.seed);
    }

    /** Runs all rounds and judges what has arrived at the cloud. */
    async run(): Promise<ReleaseRunResult> {
        const copying = setInterval(() => this.keepCopy(), copyMs);
        const noting = setInterval(() => this.recordCalls(), pollMs);
        const sending = setInterval(() => this.sendRequest(), requestMs);
        try {
            await this.start();
            await this.findHolder();
            await this.pause(keptCopies * copyMs);
            for (let round = 0; round < this.options.rounds; round += 1) {
                await this.inject(troubles[this.random.drawInt(troubles.length)]);
            }
            await this.findHolder();
        }
        finally {
            clearInterval(copying);
            clearInterval(noting);
            clearInterval(sending);
            await this.stop();
        }
        return this.summarise();
    }

    private async start(): Promise<void> {
        const { programs, nodeCount } = this.options;
        await this.testbed.start();
        await this.testbed.addRunner("llm", { id: "llm-1" });
        await this.testbed.addRunner("app", { id: "app-1" });
        for (let index = 0; index < nodeCount; index += 1) {
            const node = new ReleasedNode({
                nodeId: `node-${index + 1}`,
                index,
                folder: this.folder,
                store: this.testbed.store.address,
                cloud: this.testbed.cloud.address,
                bounds,
            });
            this.nodes.push(node);
            await node.start(programs[index % programs.length]);
        }
    }

    private async stop(): Promise<void> {
        this.nodes.forEach(node => node.recover());
        await Promise.all(this.nodes.map(node => node.stop()));
        await this.testbed.stop();
        rmSync(this.folder, { recursive: true });
    }

    private keepCopy(): void {
        this.copies.push(this.testbed.store.takeCopy());
        this.copies.splice(0, this.copies.length - keptCopies);
    }

    /** Sends a request to one of the nodes, so that there is usage to report; it may fail. */
    private sendRequest(): void {
        const node = this.nodes[this.requests % Math.max(1, this.nodes.length)];
        if (!node?.callersAddress) {
            return;
        }
        const { callersAddress } = node;
        this.requests += 1;
        const headers = {
            "host": "host.example",
            "x-sequoiagrade-attempt-id": `attempt-${this.requests}`,
            "x-sequoiagrade-deadline-ms": "1000",
            "x-sequoiagrade-credential": "key-alpha",
        };
        const sent = get(
            `http://${callersAddress}/read/1`,
            { agent: false, headers, timeout: 1_000 },
            answer => {
                answer.resume();
            },
        );
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => this.failedRequests += 1);
    }

    private recordCalls(): void {
        for (const call of this.testbed.cloud.calls.slice(this.calls.length)) {
            const program = this.nodes.find(({ nodeId }) => nodeId === call.holder)!.program;
            this.calls.push({ call, program });
        }
    }

    /** Waits for a call, and finds its sender. */
    private async findHolder(): Promise<ReleasedNode> {
        const { calls } = this.testbed.cloud;
        const before = calls.length;
        const endMs = performance.now() + holderTimeoutMs;
        while (calls.length === before) {
            if (performance.now() > endMs) {
                throw new Error("no call has arrived for a while");
            }
            await this.pause(pollMs);
        }
        return this.nodes.find(({ nodeId }) => nodeId === calls.at(-1)!.holder)!;
    }

    /** Lets something happen to the present holder, some time after one of its calls, and ends it again. */
    private async inject(trouble: Trouble): Promise<void> {
        const holder = await this.findHolder();
        await this.pause(this.random.drawInt(1_000));
        this.log.push(
            `${Math.round(performance.now())} ms: ${trouble}, holder ${holder.nodeId} ${holder.program}`,
        );
        await this.begin(trouble, holder);
        await this.pause(500 + this.random.drawInt(7_000));
        this.nodes.forEach(node => node.recover());
        this.testbed.registerAgain();
        await this.pause(this.random.drawInt(3_000));
    }

    private async begin(trouble: Trouble, holder: ReleasedNode): Promise<void> {
        switch (trouble) {
            case "SIGTERM":
            case "SIGKILL":
                await holder.replace(trouble, this.drawProgram());
                return;
            case "freeze":
                holder.pause();
                return;
            case "hold-store":
                holder.holdStore();
                return;
            case "hold-cloud":
                holder.holdCloud();
                return;
            case "cut-off":
                holder.holdStore();
                holder.holdCloud();
                return;
            case "restore":
                this.restore();
                return;
            case "restore-and-kill":
                this.restore();
                await holder.replace("SIGKILL", this.drawProgram());
        }
    }

    private restore(): void {
        this.testbed.store.restore(this.copies[this.random.drawInt(this.copies.length)]);
        this.copies.length = 0;
        this.keepCopy();
    }

    private drawProgram(): string {
        const { programs } = this.options;
        return programs[this.random.drawInt(programs.length)];
    }

    private pause(durationMs: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, durationMs));
    }

    private summarise(): ReleaseRunResult {
        const judged = this.calls.filter(({ call }) => !this.isStray(call));
        const calls = judged.map(({ call }) => call);
        const takeovers = new Map<string, number>();
        judged.forEach(({ call, program }, index) => {
            const before = judged[index - 1];
            if (before && before.call.fencing !== call.fencing) {
                const name = `${before.program} to ${program}`;
                takeovers.set(name, (takeovers.get(name) ?? 0) + 1);
            }
        });
        return {
            calls: judged.length,
            stray: this.calls.length - judged.length,
            requests: this.requests,
            failedRequests: this.failedRequests,
            takeovers,
            log: this.log,
            breaches: [
                ...listFencingBreaches(calls, { leaseMs }),
                ...listAmbiguousReports(this.testbed.cloud.calls),
            ],
        };
    }

    private isStray({ holder, atMs }: FencedCall): boolean {
        const sender = this.nodes.find(({ nodeId }) => nodeId === holder)!;
        return sender.recoveredAtMs.some(recoveredMs => atMs >= recoveredMs && atMs - recoveredMs <= strayMs);
    }
}
