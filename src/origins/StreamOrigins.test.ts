import { FakeClock } from "../kernel/FakeClock";
import type { Member } from "../membership/types";
import type { LinkPlan } from "../peers/planLinks";
import { planLinks } from "../peers/planLinks";
import { EventLog } from "../telemetry/EventLog";
import { StreamOrigins, type StreamOriginsOptions } from "./StreamOrigins";

const nodeIds = ["a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"];
const candidates = nodeIds.map(nodeId => ({ nodeId, dataCentre: nodeId[0] }));
const stream = { requestId: "s-1", service: "llm", softwareVersion: "v1" };
const origin = { service: "llm", softwareVersion: "v1" };
const shareMs = 300;

type Listener = Parameters<StreamOriginsOptions["network"]["onReport"]>[1];
type Handler = Parameters<StreamOriginsOptions["network"]["registerHandler"]>[1];

/** Nodes with links as planned; messages arrive at once, those to lost nodes never. */
class Setup {
    readonly clock = new FakeClock();
    readonly nodes = new Map<string, StreamOrigins>();
    readonly plans = new Map<string, LinkPlan>();
    readonly lost = new Set<string>();
    readonly messages: { from: string; to: string; }[] = [];
    isMixed = true;
    private readonly listeners = new Map<string, Listener>();
    private readonly handlers = new Map<string, Handler>();

    async start(): Promise<void> {
        for (const self of candidates) {
            const others = candidates.filter(other => other !== self);
            this.plans.set(self.nodeId, planLinks({ self, others }));
        }
        for (const nodeId of nodeIds) {
            const node = new StreamOrigins({
                nodeId,
                network: this.createNetwork(nodeId),
                membership: { listLive: () => candidates as unknown as Member[] },
                versions: { isMixed: () => this.isMixed },
                readKeptMs: () => 30_000,
                clock: this.clock,
                events: new EventLog({ node: nodeId, clock: this.clock }),
            });
            await node.start();
            this.nodes.set(nodeId, node);
        }
    }

    async stop(): Promise<void> {
        this.nodes.forEach(node => void node.stop());
        await this.clock.advance(shareMs);
    }

    get leaf(): string {
        return nodeIds.find(nodeId => !this.plans.get(nodeId)!.isAggregator)!;
    }

    get aggregator(): string {
        return nodeIds.find(nodeId => this.plans.get(nodeId)!.isAggregator)!;
    }

    /** Nodes of the other data centre than a node's. */
    listElsewhere(nodeId: string): string[] {
        return nodeIds.filter(other => other[0] !== nodeId[0]);
    }

    private createNetwork(nodeId: string): StreamOriginsOptions["network"] {
        const { plans, listeners, handlers, messages, lost } = this;
        const plan = plans.get(nodeId)!;
        const listLinked = (): string[] =>
            nodeIds.filter(other =>
                other !== nodeId && !lost.has(other)
                && (plan.dialTargets.includes(other) || plans.get(other)!.dialTargets.includes(nodeId))
            );
        return {
            get linkedNodeIds() {
                return listLinked();
            },
            plan,
            sendReport: (targets, _topic, payload) =>
                targets.forEach(to => {
                    messages.push({ from: nodeId, to });
                    if (!lost.has(to)) {
                        listeners.get(to)!(nodeId, payload);
                    }
                }),
            onReport: (_topic, listener) => void listeners.set(nodeId, listener),
            call: async (to, _method, payload) => {
                if (lost.has(to)) {
                    throw new Error("lost");
                }
                return handlers.get(to)!(payload, nodeId);
            },
            registerHandler: (_method, handler) => void handlers.set(nodeId, handler),
        };
    }
}

describe("StreamOrigins", () => {
    let setup: Setup;

    beforeEach(async () => {
        setup = new Setup();
        await setup.start();
    });

    afterEach(() => setup.stop());

    it.each(["leaf", "aggregator"] as const)(
        "tells every node of a stream of a %s that is lost",
        async role => {
            const first = setup[role];
            setup.nodes.get(first)!.record(stream, false);
            await setup.clock.advance(shareMs);
            setup.lost.add(first);
            for (const nodeId of nodeIds.filter(other => other !== first)) {
                expect((await setup.nodes.get(nodeId)!.find("s-1")).origin).toEqual(origin);
            }
        },
    );

    it.each(["leaf", "aggregator"] as const)(
        "keeps a stream of a %s when its data centre is lost",
        async role => {
            const first = setup[role];
            setup.nodes.get(first)!.record(stream, false);
            await setup.clock.advance(shareMs);
            nodeIds.filter(nodeId => nodeId[0] === first[0]).forEach(nodeId => setup.lost.add(nodeId));
            for (const nodeId of setup.listElsewhere(first)) {
                expect((await setup.nodes.get(nodeId)!.find("s-1")).origin).toEqual(origin);
            }
        },
    );

    it("tells the only aggregator that is left of a stream of any other one", async () => {
        setup.nodes.get(setup.aggregator)!.record(stream, false);
        await setup.clock.advance(shareMs);
        const aggregators = nodeIds.filter(nodeId => setup.plans.get(nodeId)!.isAggregator);
        for (const left of aggregators.filter(nodeId => nodeId !== setup.aggregator)) {
            setup.lost.clear();
            nodeIds.filter(nodeId => nodeId !== left).forEach(nodeId => setup.lost.add(nodeId));
            expect((await setup.nodes.get(left)!.find("s-1")).origin).toEqual(origin);
        }
    });

    it("sends nothing while a service has one version, and the streams of before once it has two", async () => {
        setup.isMixed = false;
        const first = setup.leaf;
        setup.nodes.get(first)!.record(stream, false);
        await setup.clock.advance(shareMs);
        expect(setup.messages).toEqual([]);
        setup.isMixed = true;
        await setup.clock.advance(shareMs);
        setup.lost.add(first);
        const [elsewhere] = setup.listElsewhere(first);
        expect((await setup.nodes.get(elsewhere)!.find("s-1")).origin).toEqual(origin);
    });

    it("shares a stream whose service is ambiguous at once", async () => {
        setup.isMixed = false;
        setup.nodes.get(setup.leaf)!.record(stream, true);
        await setup.clock.advance(shareMs);
        expect(setup.messages.length).toBeGreaterThan(0);
    });

    it("passes many streams on in few messages, each a bounded number of times", async () => {
        for (let index = 0; index < 50; index += 1) {
            setup.nodes.get(setup.leaf)!.record({ ...stream, requestId: `s-${index}` }, false);
        }
        await setup.clock.advance(shareMs);
        expect(setup.messages.length).toBeLessThanOrEqual(4);
    });

    it("says that nobody knows a stream, and how many did not answer", async () => {
        const [elsewhere] = setup.listElsewhere(setup.aggregator);
        expect(await setup.nodes.get(elsewhere)!.find("never")).toMatchObject({
            origin: undefined,
            source: "nobody",
        });
    });
});
