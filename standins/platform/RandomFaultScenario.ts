import { SeededRandom } from "../../src/kernel/SeededRandom";
import { listEventIds } from "./listEventIds";
import type { RunnerBehaviour } from "./RunnerBehaviour";
import type { RunnerStandIn } from "./RunnerStandIn";
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
    /** Number of steps; each starts a request or a fault. */
    readonly steps: number;
}

/** A request of the scenario and its response. */
export interface CompletedCall {
    readonly call: TestCall & { readonly requestId: string; };
    /** Undefined when the connection failed without a response. */
    readonly answer: TestResponse | undefined;
    /** Answer of the attempt that took the stream up after it had broken off; undefined if there was none. */
    readonly rest?: TestResponse;
}

/** Number of events in each stream of the scenario's engines. */
export const eventsPerStream = 8;

const stepMs = 15;
const requestFraction = 0.75; // fraction of steps that send a request; the others inject a fault
const storeFaultMs = 250;
const deadlineMs = "2000";
const initialNodes = 2;
const initialRunnersPerService = 3;
const requestTemplates = [
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
    "unframed",
    "unframed-close",
    "unframed-reset",
    "chunked-end",
    "chunked-close",
    "hang",
    "stall",
];
const resumablePath = "/stream/";
const softwareVersions = ["v1", "v2"] as const;
const storeFaults = ["outage", "delay", "lose-answers"] as const;

/** Sends requests to nodes while faults occur, both in an order drawn from a seeded random source. */
export class RandomFaultScenario {
    readonly calls: CompletedCall[] = [];
    readonly testbed = new ServingTestbed();
    private readonly random: SeededRandom;
    private readonly runningSteps: Promise<void>[] = [];
    private readonly registeredRunners: RunnerStandIn[] = [];
    private servingNodes: TestNode[] = [];
    private configurationVersion = 1;

    constructor(private readonly options: RandomFaultScenarioOptions) {
        this.random = new SeededRandom(options.seed);
    }

    /** Runs all steps and waits until every request and fault has ended. */
    async run(): Promise<void> {
        await this.testbed.start();
        for (let count = 0; count < initialRunnersPerService; count += 1) {
            await this.addRunner("app");
            await this.addRunner("llm");
        }
        for (let count = 0; count < initialNodes; count += 1) {
            await this.addNode();
        }
        for (let step = 0; step < this.options.steps; step += 1) {
            const begun = this.random.drawFloat() < requestFraction ? this.sendRequest() : this.injectFault();
            this.runningSteps.push(begun);
            await new Promise(resolve => setTimeout(resolve, stepMs));
        }
        await Promise.all(this.runningSteps);
    }

    async stop(): Promise<void> {
        await this.testbed.stop();
    }

    private async sendRequest(): Promise<void> {
        const call = {
            ...this.pick(requestTemplates),
            requestId: `call-${this.runningSteps.length}`,
            headers: { "x-sequoiagrade-deadline-ms": deadlineMs },
        };
        const target = this.pick(this.servingNodes);
        const answer = await this.testbed.call(target, call).catch(() => undefined);
        const rest = answer && await this.takeUp(call, answer);
        this.calls.push({ call, answer, rest });
    }

    /** Takes a broken stream up at any node, as a caller does. The attempt counts as a call of its own, too. */
    private async takeUp(
        call: CompletedCall["call"],
        first: TestResponse,
    ): Promise<TestResponse | undefined> {
        const lastEventId = listEventIds(first.body).at(-1);
        if (call.path !== resumablePath || first.status !== 200 || first.isWhole || !lastEventId) {
            return undefined;
        }
        const headers = { ...call.headers, "last-event-id": String(lastEventId), "resumes": call.requestId };
        const again = { ...call, requestId: `${call.requestId}-again`, headers };
        const answer = await this.testbed.call(this.pick(this.servingNodes), again).catch(() => undefined);
        this.calls.push({ call: again, answer });
        return answer;
    }

    private injectFault(): Promise<void> {
        const faults = [
            () => this.breakRunner(),
            () => this.breakRunner(),
            () => this.replaceRunner(),
            () => this.breakStore(),
            () => this.restoreStore(),
            () => this.updateConfiguration(),
            () => this.replaceNode(),
        ];
        return this.pick(faults)();
    }

    private async breakRunner(): Promise<void> {
        this.pick(this.registeredRunners).nextBehaviours.push(this.pick(behaviours));
    }

    /**
     * Marks a runner as draining and starts another one. The draining runner continues to serve requests, as on the
     * platform.
     */
    private async replaceRunner(): Promise<void> {
        const service = this.pick(["app", "llm"]);
        const leaving = this.registeredRunners.find(runner => runner.id.startsWith(service))!;
        this.registeredRunners.splice(this.registeredRunners.indexOf(leaving), 1);
        this.testbed.registerRunner(leaving, service, "draining");
        await this.addRunner(service);
    }

    private async breakStore(): Promise<void> {
        if (this.random.drawInt(storeFaults.length + 1) === 0) {
            this.testbed.store.dropHistory();
            return;
        }
        this.testbed.store.server.setFault({ kind: this.pick(storeFaults), ms: storeFaultMs });
        await new Promise(resolve => setTimeout(resolve, storeFaultMs));
        this.testbed.store.server.setFault({ kind: "none" });
    }

    /** Restores the store from a copy some moments old; the operator and the runners then write again. */
    private async restoreStore(): Promise<void> {
        const { store } = this.testbed;
        const copy = store.takeCopy();
        await new Promise(resolve => setTimeout(resolve, storeFaultMs));
        store.restore(copy);
        store.put("op", "config", createTestConfiguration(this.configurationVersion));
        this.testbed.registerAgain();
    }

    private async updateConfiguration(): Promise<void> {
        this.configurationVersion += 1 + this.random.drawInt(3);
        this.testbed.store.put("op", "config", createTestConfiguration(this.configurationVersion));
    }

    /** Stops a node, gracefully or abruptly, and starts another one. */
    private async replaceNode(): Promise<void> {
        if (this.servingNodes.length < initialNodes) {
            return; // another replacement is in progress
        }
        const [stopped] = this.servingNodes;
        this.servingNodes = this.servingNodes.slice(1);
        const isPlanned = this.random.drawInt(2) === 0;
        await (isPlanned ? stopped.node.stop() : stopped.node.kernel.stop());
        await this.addNode();
    }

    private async addNode(): Promise<void> {
        this.servingNodes.push(await this.testbed.addNode({ stopGraceMs: 3_000, entriesValidMs: 100 }));
    }

    private async addRunner(service: string): Promise<void> {
        const events = service === "llm" ? eventsPerStream : 0;
        this.registeredRunners.push(
            await this.testbed.addRunner(service, {
                id: `${service}-${this.testbed.runners.length}`,
                events,
                softwareVersion: this.pick(softwareVersions),
            }),
        );
    }

    private pick<T>(values: readonly T[]): T {
        return values[this.random.drawInt(values.length)];
    }
}
