import fc from "fast-check";
import { planLinks } from "../peers/planLinks";
import { SumState } from "./SumState";
import type { Counters, NodeMessage, TotalMessage } from "./types";

const lingerMs = 8_000;
const staleMs = 2_000;
const tickMs = 250;
/** Sizes that take minutes, for runs by hand. */
const largeSizes = process.env.FUZZ_SEEDS === undefined ? [] : [[5, 320], [5, 1_000]];

interface SimulatedNode {
    readonly nodeId: string;
    readonly dataCentre: string;
    state: SumState;
    /** Counter `used/x` of the process; the sum over all processes is checked. */
    used: number;
    isDown: boolean;
    starts: number;
}

/** Nodes that exchange sums along the planned links, one tick after the other, on a simulated clock. */
class Simulation {
    readonly nodes: SimulatedNode[];
    nowMs = 0;
    /** Pairs that cannot reach each other. */
    readonly cut = new Set<string>();

    constructor(centres: number, count: number) {
        this.nodes = Array.from({ length: count }, (_, index) => ({
            nodeId: `n${index}`,
            dataCentre: `dc-${index % centres}`,
            state: undefined as unknown as SumState,
            used: 0,
            isDown: false,
            starts: 0,
        }));
        this.nodes.forEach(node => this.start(node));
    }

    start(node: SimulatedNode): void {
        node.starts += 1;
        node.isDown = false;
        node.used = 0;
        node.state = new SumState({
            processId: `${node.nodeId}:${node.starts}`,
            dataCentre: node.dataCentre,
            lingerMsByGroup: { used: lingerMs },
        });
        this.nodes.filter(other => other !== node).forEach(other => other.state?.resetPeer(node.nodeId));
    }

    /** Runs one tick: every running node sends its messages, which arrive at once. Returns the number of messages. */
    tick(): number {
        this.nowMs += tickMs;
        const running = this.nodes.filter(node => !node.isDown);
        const plans = new Map(running.map(self => [
            self.nodeId,
            planLinks({ self, others: running.filter(node => node !== self) }),
        ]));
        for (const node of running) {
            node.state.expire(this.nowMs - staleMs, this.nowMs);
            node.state.setRole(plans.get(node.nodeId)!.isAggregator);
            node.state.setOwn(new Map([["used/x", node.used], ["load/x", 1]]));
        }
        let messages = 0;
        for (const from of running) {
            const plan = plans.get(from.nodeId)!;
            const isLinked = (to: SimulatedNode): boolean =>
                to !== from && this.isReachable(from, to)
                && (plan.dialTargets.includes(to.nodeId)
                    || plans.get(to.nodeId)!.dialTargets.includes(from.nodeId));
            for (const to of running.filter(isLinked)) {
                messages += 1;
                this.exchange(from, to, plan);
            }
        }
        return messages;
    }

    run(durationMs: number): void {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += tickMs) {
            this.tick();
        }
    }

    readSum(node: SimulatedNode, name: string): number {
        return (node.state.sumOthers().get(name) ?? 0);
    }

    countCovered(node: SimulatedNode): number {
        return node.state.listCovered().reduce((sum, part) => sum + part.nodes, 0);
    }

    private exchange(from: SimulatedNode, to: SimulatedNode, plan: ReturnType<typeof planLinks>): void {
        if (plan.aggregators.has(to.nodeId)) {
            const wanted = from.state.hasTotalOf(to.nodeId) ? "changes" : "all";
            const message = copy(from.state.createNodeMessage(to.nodeId, this.nowMs, wanted));
            to.state.receiveNode(from.nodeId, message, this.nowMs);
            return;
        }
        const [preferred] = [...plan.aggregators].filter(nodeId => this.isSameCentre(nodeId, from)).sort();
        const isPreferred = preferred === undefined || from.nodeId < preferred;
        if (plan.isAggregator && isPreferred) {
            const wanted = to.state.hasTotalOf(from.nodeId) ? "changes" : "all";
            const message = copy(from.state.createTotalMessage(to.nodeId, this.nowMs, wanted));
            to.state.receiveTotal(from.nodeId, message, this.nowMs);
        }
    }

    private isSameCentre(nodeId: string, node: SimulatedNode): boolean {
        return this.nodes.find(other => other.nodeId === nodeId)!.dataCentre === node.dataCentre;
    }

    private isReachable(a: SimulatedNode, b: SimulatedNode): boolean {
        return !this.cut.has(`${a.nodeId} ${b.nodeId}`) && !this.cut.has(`${b.nodeId} ${a.nodeId}`);
    }
}

/** Messages travel encoded. */
const copy = <T extends NodeMessage | TotalMessage>(message: T): T =>
    JSON.parse(JSON.stringify(message)) as T;

const createState = (processId: string): SumState => {
    const state = new SumState({ processId, dataCentre: "a", lingerMsByGroup: { used: lingerMs } });
    state.setRole(true);
    return state;
};

describe("SumState", () => {
    it("gives every node the sum over all others, whatever the size of the cluster", () => {
        for (const [centres, count] of [[4, 8], [3, 7], [6, 18], [4, 82], ...largeSizes]) {
            const simulation = new Simulation(centres, count);
            simulation.nodes.forEach((node, index) => {
                node.used = index + 1;
            });
            simulation.run(5 * tickMs);
            const total = count * (count + 1) / 2;
            for (const node of simulation.nodes.filter((_, index) => index % 7 === 0)) {
                expect(simulation.readSum(node, "used/x")).toBeCloseTo(total - node.used, 6);
                expect(simulation.readSum(node, "load/x")).toBeCloseTo(count - 1, 6);
                expect(simulation.countCovered(node)).toBe(count - 1);
            }
        }
    });

    it("needs a number of messages a node that does not grow with the cluster", () => {
        const countMessages = (count: number): number => {
            const simulation = new Simulation(5, count);
            simulation.run(2 * tickMs);
            return simulation.tick() / count;
        };
        // Each node sends two messages to aggregators and gets at most two from them; aggregators send each other one.
        [40, 120].forEach(count => expect(countMessages(count)).toBeLessThanOrEqual(4 + 10 * 9 / count));
    });

    it("counts what an ended process has used for a while longer, but not its load", () => {
        const simulation = new Simulation(3, 24);
        simulation.nodes.forEach(node => {
            node.used = 1;
        });
        simulation.run(4 * tickMs);
        simulation.nodes.slice(0, 9).forEach(node => {
            node.isDown = true; // aggregators and leaves
        });
        simulation.run(staleMs + 4 * tickMs);
        const survivor = simulation.nodes[23];
        expect(simulation.readSum(survivor, "load/x")).toBeCloseTo(14, 6);
        expect(simulation.readSum(survivor, "used/x")).toBeGreaterThanOrEqual(14);
        simulation.run(lingerMs);
        expect(simulation.readSum(survivor, "used/x")).toBeCloseTo(14, 6);
    });

    it("counts nothing twice and returns to the exact sum after losses, restarts and cuts", () => {
        const step = fc.record({
            kind: fc.constantFrom("stop", "start", "cut", "heal", "use"),
            node: fc.nat(23),
            other: fc.nat(23),
            ticks: fc.integer({ min: 0, max: 12 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 14 }), steps => {
                const simulation = new Simulation(3, 24);
                for (const { kind, node: index, other, ticks } of steps) {
                    const node = simulation.nodes[index];
                    if (kind === "stop") {
                        node.isDown = true;
                    }
                    else if (kind === "start" && node.isDown) {
                        simulation.start(node);
                    }
                    else if (kind === "cut" && index !== other) {
                        simulation.cut.add(`n${index} n${other}`);
                    }
                    else if (kind === "heal") {
                        simulation.cut.clear();
                    }
                    else if (kind === "use") {
                        node.used += 1;
                    }
                    simulation.run(ticks * tickMs);
                }
                simulation.cut.clear();
                simulation.run(lingerMs + staleMs + 8 * tickMs);
                const running = simulation.nodes.filter(node => !node.isDown);
                const total = running.reduce((sum, node) => sum + node.used, 0);
                for (const node of running) {
                    expect(simulation.readSum(node, "used/x")).toBeCloseTo(total - node.used, 6);
                    expect(simulation.countCovered(node)).toBe(running.length - 1);
                }
            }),
            { seed: 4, numRuns: Number(process.env.FUZZ_SEEDS ?? 25) },
        );
    });

    it("ignores messages that were overtaken, and changes whose base it does not have", () => {
        const [sender, receiver] = [createState("s"), createState("r")];
        const counters = (value: number): Counters => new Map([["used/x", value]]);
        sender.setOwn(counters(1));
        const first = sender.createNodeMessage("r", 0, "nothing");
        sender.setOwn(counters(3));
        const second = sender.createNodeMessage("r", 0, "nothing");
        receiver.receiveNode("s", second, 0);
        expect(receiver.sumOthers().get("used/x")).toBeUndefined();
        receiver.receiveNode("s", first, 0);
        receiver.receiveNode("s", second, 0);
        receiver.receiveNode("s", first, 0);
        expect(receiver.sumOthers().get("used/x")).toBe(3);
        sender.resetPeer("r");
        sender.setOwn(counters(4));
        expect(sender.createNodeMessage("r", 0, "nothing")).toMatchObject({
            isFull: true,
            changes: { "used/x": 4 },
        });
    });

    it("sends complete messages again to a node to which there was no link", () => {
        const sender = createState("s");
        sender.setOwn(new Map([["used/x", 1]]));
        sender.createNodeMessage("r", 0, "nothing");
        sender.keepPeers(new Set(["r"]));
        expect(sender.createNodeMessage("r", 0, "nothing").isFull).toBe(false);
        sender.keepPeers(new Set());
        expect(sender.createNodeMessage("r", 0, "nothing")).toMatchObject({
            isFull: true,
            changes: { "used/x": 1 },
        });
    });

    it("counts a restarted node once, and what its former process has used", () => {
        const receiver = createState("r");
        const [former, present] = [createState("s:1"), createState("s:2")];
        former.setOwn(new Map([["used/x", 5], ["load/x", 2]]));
        receiver.receiveNode("s", former.createNodeMessage("r", 0, "nothing"), 0);
        present.setOwn(new Map([["used/x", 1], ["load/x", 1]]));
        receiver.receiveNode("s", present.createNodeMessage("r", 100, "nothing"), 100);
        receiver.expire(-staleMs, 100);
        expect(receiver.sumOthers().get("used/x")).toBe(6);
        expect(receiver.sumOthers().get("load/x")).toBe(1);
        expect(receiver.listCovered()).toHaveLength(1);
    });
});
