import { SeededRandom } from "../../src/kernel/SeededRandom";
import type { RunnerBehaviour, RunnerStandIn } from "./RunnerStandIn";
import {
    createTestDocument,
    ServingTestbed,
    type TestAnswer,
    type TestCall,
    type TestNode,
} from "./ServingTestbed";

/** Options of {@link TroublePlay}. */
export interface TroublePlayOptions {
    readonly seed: number;
    /** Number of steps; each begins a request or a trouble. */
    readonly steps: number;
}

/** A request of the play and what its caller got. */
export interface PlayedCall {
    readonly call: TestCall & { readonly requestId: string; };
    /** Undefined when the connection ended without an answer. */
    readonly answer: TestAnswer | undefined;
}

/** Events of a stream of the play's engines. */
export const playedEvents = 8;

const stepMs = 15;
const callShare = 0.75; // of the steps; the others are troubles
const faultMs = 250;
const deadlineMs = "2000";
const startNodes = 2;
const startRunners = 3;
const paths = [
    { path: "/plain/", method: "POST", body: "b" },
    { path: "/read/", method: "GET" },
    { path: "/stream/", method: "POST", body: "p" },
    { path: "/strict/", method: "POST", body: "p" },
] as const;
const behaviours: readonly RunnerBehaviour[] = [
    "full",
    "fail",
    "lose",
    "mixed",
    "extra",
    "break",
    "hang",
    "stall",
];
const storeFaults = ["outage", "delay", "lose-answers"] as const;

/** Plays requests and troubles in an order that depends on a seed, on nodes before the platform's stand-ins. */
export class TroublePlay {
    readonly calls: PlayedCall[] = [];
    readonly bed = new ServingTestbed();
    private readonly random: SeededRandom;
    private readonly running: Promise<void>[] = [];
    private readonly listed: RunnerStandIn[] = [];
    private serving: TestNode[] = [];
    private version = 1;

    constructor(private readonly options: TroublePlayOptions) {
        this.random = new SeededRandom(options.seed);
    }

    /** Plays to the end of the last request. */
    async run(): Promise<void> {
        await this.bed.start();
        for (let count = 0; count < startRunners; count += 1) {
            await this.addRunner("app");
            await this.addRunner("llm");
        }
        for (let count = 0; count < startNodes; count += 1) {
            await this.addNode();
        }
        for (let step = 0; step < this.options.steps; step += 1) {
            const begun = this.random.drawFloat() < callShare ? this.makeCall() : this.makeTrouble();
            this.running.push(begun);
            await new Promise(resolve => setTimeout(resolve, stepMs));
        }
        await Promise.all(this.running);
    }

    async stop(): Promise<void> {
        await this.bed.stop();
    }

    private async makeCall(): Promise<void> {
        const call = {
            ...this.pick(paths),
            requestId: `call-${this.running.length}`,
            headers: { "x-sequoiagrade-deadline-ms": deadlineMs },
        };
        const target = this.pick(this.serving);
        const answer = await this.bed.call(target, call).catch(() => undefined);
        this.calls.push({ call, answer });
    }

    private makeTrouble(): Promise<void> {
        const troubles = [
            () => this.breakRunner(),
            () => this.breakRunner(),
            () => this.replaceRunner(),
            () => this.breakStore(),
            () => this.updateConfiguration(),
            () => this.replaceNode(),
        ];
        return this.pick(troubles)();
    }

    private async breakRunner(): Promise<void> {
        this.pick(this.listed).behaviours.push(this.pick(behaviours));
    }

    /** A runner announces that it leaves, and another one starts; the first serves on, as on the platform. */
    private async replaceRunner(): Promise<void> {
        const service = this.pick(["app", "llm"]);
        const leaving = this.listed.find(runner => runner.id.startsWith(service))!;
        this.listed.splice(this.listed.indexOf(leaving), 1);
        this.bed.listRunner(leaving, service, "draining");
        await this.addRunner(service);
    }

    private async breakStore(): Promise<void> {
        if (this.random.drawInt(storeFaults.length + 1) === 0) {
            this.bed.store.dropHistory();
            return;
        }
        this.bed.store.server.setFault({ kind: this.pick(storeFaults), ms: faultMs });
        await new Promise(resolve => setTimeout(resolve, faultMs));
        this.bed.store.server.setFault({ kind: "none" });
    }

    private async updateConfiguration(): Promise<void> {
        this.version += 1 + this.random.drawInt(3);
        this.bed.store.put("op", "config", createTestDocument(this.version));
    }

    /** Adds a node and stops another one, as planned or at once. */
    private async replaceNode(): Promise<void> {
        if (this.serving.length < startNodes) {
            return; // one replacement at a time
        }
        const [gone] = this.serving;
        this.serving = this.serving.slice(1);
        const isPlanned = this.random.drawInt(2) === 0;
        await (isPlanned ? gone.node.stop() : gone.node.kernel.stop());
        await this.addNode();
    }

    private async addNode(): Promise<void> {
        this.serving.push(await this.bed.addNode({ stopGraceMs: 3_000, entriesValidMs: 100 }));
    }

    private async addRunner(service: string): Promise<void> {
        const events = service === "llm" ? playedEvents : 0;
        this.listed.push(
            await this.bed.addRunner(service, { id: `${service}-${this.bed.runners.length}`, events }),
        );
    }

    private pick<T>(values: readonly T[]): T {
        return values[this.random.drawInt(values.length)];
    }
}
