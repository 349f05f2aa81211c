import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { UpstreamLimits } from "./UpstreamLimits";

const upstream = { id: "u", startedAtMs: 1 };
const limitPerS = 4;

/** Nodes that tell each other everything at once. */
class Setup {
    readonly clock = new FakeClock();
    readonly nodes: UpstreamLimits[] = [];
    reported = 0;
    private readonly listeners: ((value: never, fromNode: string) => void)[] = [];

    constructor(count: number) {
        for (let rank = 0; rank < count; rank += 1) {
            const limits = new UpstreamLimits({
                reports: {
                    publish: (topic, value) => {
                        this.reported += 1;
                        const parsed = topic.schema.parse(value);
                        this.listeners.filter((_unused, other) => other !== rank)
                            .forEach(listener => listener(parsed as never, "member"));
                    },
                    listen: (_topic, onReceived) => void this.listeners.push(onReceived),
                },
                readNodes: () => ({ rank, liveNodes: count, presumedNodes: count }),
                clock: this.clock,
                events: new EventLog({ node: "n", clock: this.clock }),
            });
            this.nodes.push(limits);
            void limits.start();
        }
    }

    /** Sends whatever the limits allow, and returns how much that was in each step of 10 ms. */
    async sendAll(durationMs: number, stated: number | undefined): Promise<number[]> {
        const sent: number[] = [];
        for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
            const ready = this.nodes.filter(node => node.readWaitMs(upstream) === 0);
            ready.forEach(node => {
                node.take(upstream);
                node.observe(upstream, stated);
            });
            sent.push(ready.length);
            await this.clock.advance(10);
        }
        return sent;
    }
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

describe("UpstreamLimits", () => {
    it.each([1, 8, 40])("keeps %d nodes within a limit that one of them heard, and uses it", async count => {
        const setup = new Setup(count);
        setup.nodes[0].observe(upstream, limitPerS);
        const sent = await setup.sendAll(12_000, limitPerS);
        for (let first = 0; first + 400 <= sent.length; first += 10) {
            expect(sum(sent.slice(first, first + 400))).toBeLessThanOrEqual(1.5 * limitPerS * 4 + 5);
        }
        expect(sum(sent)).toBeGreaterThanOrEqual(limitPerS * 12 * 0.8);
        expect(setup.reported).toBeLessThanOrEqual(8);
    });

    it("says how long it takes until one more request is allowed", async () => {
        const setup = new Setup(1);
        setup.nodes[0].observe(upstream, limitPerS);
        expect(setup.nodes[0].readWaitMs(upstream)).toBe(250);
        await setup.clock.advance(200);
        expect(setup.nodes[0].readWaitMs(upstream)).toBeCloseTo(50);
        await setup.clock.advance(60);
        expect(setup.nodes[0].readWaitMs(upstream)).toBe(0);
    });

    it("ends the limit on all nodes with an answer that states none, but not with one sent before it", async () => {
        const setup = new Setup(2);
        setup.nodes[0].observe(upstream, limitPerS);
        await setup.clock.advance(100);
        setup.nodes[1].observe(upstream, undefined);
        setup.nodes.forEach(node => expect(node.readWaitMs(upstream)).toBeGreaterThan(0));
        await setup.clock.advance(500);
        setup.nodes[1].observe(upstream, undefined);
        setup.nodes.forEach(node => {
            node.take(upstream);
            node.take(upstream);
            expect(node.readWaitMs(upstream)).toBe(0);
        });
    });

    it("forgets a limit that no node has heard for long, and does not apply it to another start", async () => {
        const setup = new Setup(1);
        const [node] = setup.nodes;
        node.observe(upstream, 0);
        expect(node.readWaitMs({ ...upstream, startedAtMs: 2 })).toBe(0);
        expect(node.readWaitMs(upstream)).toBeGreaterThan(0);
        await setup.clock.advance(2_000);
        expect(node.readWaitMs(upstream)).toBeGreaterThan(0);
        await setup.clock.advance(9_000);
        expect(node.readWaitMs(upstream)).toBe(0);
    });
});
