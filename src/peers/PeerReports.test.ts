import { z } from "zod";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { PeerReports, type ReportTopic } from "./PeerReports";
import { planLinks } from "./planLinks";
import { selectRelayTargets } from "./selectRelayTargets";

const topic: ReportTopic<number> = { name: "load", schema: z.number() };

interface Sent {
    readonly from: string;
    readonly to: string;
    readonly payload: unknown;
}

/** Nodes that are linked as {@link planLinks} says, with messages that the test delivers. */
class Cluster {
    readonly received = new Map<string, number[]>();
    readonly sent: Sent[] = [];
    readonly reports = new Map<string, PeerReports>();
    private readonly listeners = new Map<string, (nodeId: string, payload: unknown) => void>();
    private readonly clock = new FakeClock();

    constructor(nodes: readonly { readonly nodeId: string; readonly dataCentre: string; }[]) {
        const plans = new Map(nodes.map(self => [
            self.nodeId,
            planLinks({ self, others: nodes.filter(node => node !== self) }),
        ]));
        const isLinked = (a: string, b: string): boolean =>
            plans.get(a)!.dialTargets.includes(b) || plans.get(b)!.dialTargets.includes(a);
        for (const { nodeId } of nodes) {
            const linkedNodeIds = nodes.map(node => node.nodeId).filter(other => isLinked(nodeId, other));
            const reports = new PeerReports({
                processId: nodeId,
                network: {
                    linkedNodeIds,
                    plan: plans.get(nodeId)!,
                    onReport: (_topic, listener) => this.listeners.set(nodeId, listener),
                    sendReport: (targets, _topic, payload) =>
                        targets.forEach(to => this.sent.push({ from: nodeId, to, payload })),
                },
                events: new EventLog({ node: nodeId, clock: this.clock }),
            });
            reports.listen(
                topic,
                value => this.received.set(nodeId, [...this.received.get(nodeId) ?? [], value]),
            );
            this.reports.set(nodeId, reports);
        }
    }

    /** Delivers messages until none is left; returns their number. */
    deliverAll(): number {
        let count = 0;
        for (let next = this.sent.shift(); next; next = this.sent.shift()) {
            this.deliver(next);
            count += 1;
        }
        return count;
    }

    deliver({ from, to, payload }: Sent): void {
        this.listeners.get(to)!(from, payload);
    }
}

const createNodes = (centres: number, perCentre: number): { nodeId: string; dataCentre: string; }[] =>
    Array.from({ length: centres * perCentre }, (_, index) => ({
        nodeId: `n${index}`,
        dataCentre: `dc-${index % centres}`,
    }));

describe("PeerReports", () => {
    it("reach every other node once, from whichever node they come", () => {
        for (const nodes of [createNodes(4, 2), createNodes(3, 7), createNodes(1, 9)]) {
            const cluster = new Cluster(nodes);
            nodes.forEach(({ nodeId }, index) => cluster.reports.get(nodeId)!.publish(topic, index));
            cluster.deliverAll();
            nodes.forEach(({ nodeId }, index) => {
                const expected = nodes.map((_, other) => other).filter(other => other !== index);
                expect([...cluster.received.get(nodeId) ?? []].sort((a, b) => a - b)).toEqual(expected);
            });
        }
    });

    it("cost each node a few messages, however many nodes there are", () => {
        const cluster = new Cluster(createNodes(5, 64));
        cluster.reports.get("n0")!.publish(topic, 1);
        expect(cluster.deliverAll()).toBeLessThan(320 * 3);
    });

    it("are delivered once each, also if one overtakes another, and dropped if they are not valid", () => {
        const cluster = new Cluster(createNodes(2, 1));
        cluster.reports.get("n0")!.publish(topic, 1);
        cluster.reports.get("n0")!.publish(topic, 2);
        const [first, second] = cluster.sent.splice(0);
        cluster.deliver(second);
        cluster.deliver(first);
        cluster.deliver(second);
        cluster.deliver({ ...first, payload: { origin: "n0", sequence: 9, value: "none" } });
        cluster.deliver({ ...first, payload: 5 });
        expect(cluster.received.get("n1")).toEqual([2, 1]);
    });
});

describe("selectRelayTargets", () => {
    const plan = { isAggregator: true, aggregators: new Set(["a", "b"]), dialTargets: [] };
    const linked = ["a", "b", "leaf-1", "leaf-2"];

    it("passes messages of leaves on to all, and those of aggregators to leaves", () => {
        expect(selectRelayTargets({ plan, linked, source: undefined })).toEqual(linked);
        expect(selectRelayTargets({ plan, linked, source: "leaf-1" })).toEqual(["a", "b", "leaf-2"]);
        expect(selectRelayTargets({ plan, linked, source: "a" })).toEqual(["leaf-1", "leaf-2"]);
        expect(selectRelayTargets({ plan: { ...plan, isAggregator: false }, linked, source: "a" })).toEqual(
            [],
        );
    });
});
