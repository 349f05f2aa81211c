import { SeededRandom } from "../../src/kernel/SeededRandom";
import type { RunnerBehaviour, RunnerStandIn } from "./RunnerStandIn";
import {
    createTestConfiguration,
    ServingTestbed,
    type TestCall,
    type TestNode,
    type TestResponse,
} from "./ServingTestbed";

/** Options of {@link RandomFaultScenario}. */
export interface RandomFaultScenarioOptions {
    readonly seed: number;
    /** Number of steps; each begins a request or a trouble. */
    readonly steps: number;
}

/** A request of the play and what its caller got. */
export interface CompletedCall {
    readonly call: TestCall & { readonly requestId: string; };
    /** Undefined when the connection ended without an answer. */
    readonly answer: TestResponse | undefined;
}

/** Events of a stream of the play's engines. */
export const eventsPerStream = 8;

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
export class RandomFaultScenario {
    readonly calls: CompletedCall[] = [];
    readonly testbed = new ServingTestbed();
    private readonly random: SeededRandom;
    private readonly running: Promise<void>[] = [];
    private readonly listed: RunnerStandIn[] = [];
    private serving: TestNode[] = [];
    private version = 1;

    constructor(private readonly options: RandomFaultScenarioOptions) {
        this.random = new SeededRandom(options.seed);
    }

    /** Plays to the end of the last request. */
    async run(): Promise<void> {
        await this.testbed.start();
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
        await this.testbed.stop();
    }

    private async makeCall(): Promise<void> {
        const call = {
            ...this.pick(paths),
            requestId: `call-${this.running.length}`,
            headers: { "x-sequoiagrade-deadline-ms": deadlineMs },
        };
        const target = this.pick(this.serving);
        const answer = await this.testbed.call(target, call).catch(() => undefined);
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
        this.pick(this.listed).nextBehaviours.push(this.pick(behaviours));
    }

    /** A runner announces that it leaves, and another one starts; the first serves on, as on the platform. */
    private async replaceRunner(): Promise<void> {
        const service = this.pick(["app", "llm"]);
        const leaving = this.listed.find(runner => runner.id.startsWith(service))!;
        this.listed.splice(this.listed.indexOf(leaving), 1);
        this.testbed.registerRunner(leaving, service, "draining");
        await this.addRunner(service);
    }

    private async breakStore(): Promise<void> {
        if (this.random.drawInt(storeFaults.length + 1) === 0) {
            this.testbed.store.dropHistory();
            return;
        }
        this.testbed.store.server.setFault({ kind: this.pick(storeFaults), ms: faultMs });
        await new Promise(resolve => setTimeout(resolve, faultMs));
        this.testbed.store.server.setFault({ kind: "none" });
    }

    private async updateConfiguration(): Promise<void> {
        this.version += 1 + this.random.drawInt(3);
        this.testbed.store.put("op", "config", createTestConfiguration(this.version));
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
        this.serving.push(await this.testbed.addNode({ stopGraceMs: 3_000, entriesValidMs: 100 }));
    }

    private async addRunner(service: string): Promise<void> {
        const events = service === "llm" ? eventsPerStream : 0;
        this.listed.push(
            await this.testbed.addRunner(service, {
                id: `${service}-${this.testbed.runners.length}`,
                events,
            }),
        );
    }

    private pick<T>(values: readonly T[]): T {
        return values[this.random.drawInt(values.length)];
    }
}
