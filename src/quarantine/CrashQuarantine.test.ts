import { FakeClock } from "../kernel/FakeClock";
import type { ReportTopic } from "../peers/PeerReports";
import { EventLog } from "../telemetry/EventLog";
import { CrashQuarantine } from "./CrashQuarantine";
import type { BrokenRequest, RequestTraits } from "./types";

/** Nodes that tell each other everything at once, and their store. */
class Setup {
    readonly clock = new FakeClock();
    /** Time at which the quarantine of each stored part began, in milliseconds. */
    readonly stored = new Map<string, number>();
    private readonly storeListeners: (() => void)[] = [];
    private readonly listeners = new Map<string, Map<string, (value: never, fromNode: string) => void>>();
    readonly nodes: CrashQuarantine[] = [];
    /** Number of parts written. */
    writes = 0;
    isStoreDown = false;
    /** Whether the nodes cannot reach each other. */
    isCut = false;

    async addNode(isTeller = false): Promise<CrashQuarantine> {
        const nodeId = String(this.nodes.length);
        const node = new CrashQuarantine({
            reports: {
                publish: (topic, value) => this.publish(nodeId, topic, value),
                listen: (topic, onReceived) => this.listen(nodeId, topic, onReceived),
            },
            records: {
                listen: onChange => {
                    const notify = (): void => onChange(this.listAges());
                    this.storeListeners.push(notify);
                    if (!this.isStoreDown) {
                        notify();
                    }
                },
                listAges: () => this.listAges(),
                write: async (agesMs, removed) => {
                    this.writes += agesMs.size;
                    if (!this.isStoreDown) {
                        agesMs.forEach((ageMs, id) =>
                            this.stored.set(id, this.clock.readMonotonicMs() - ageMs)
                        );
                        removed.forEach(id => this.stored.delete(id));
                        this.storeListeners.forEach(notify => notify());
                    }
                },
            },
            isTeller: () => isTeller,
            clock: this.clock,
            events: new EventLog({ node: nodeId, clock: this.clock }),
        });
        this.nodes.push(node);
        const started = node.start();
        await this.clock.advance(400);
        await started;
        return node;
    }

    private listAges(): ReadonlyMap<string, number> {
        const nowMs = this.clock.readMonotonicMs();
        return new Map(
            this.isStoreDown ? [] : [...this.stored].map(([id, sinceMs]) => [id, nowMs - sinceMs]),
        );
    }

    private publish<T>(nodeId: string, topic: ReportTopic<T>, value: T): void {
        const { data: parsed, success } = topic.schema.safeParse(value);
        if (!success) {
            return;
        }
        for (const [id, onReceived] of this.listeners.get(topic.name) ?? []) {
            if (id !== nodeId && !this.isCut) {
                onReceived(parsed as never, "member");
            }
        }
    }

    private listen<T>(
        nodeId: string,
        topic: ReportTopic<T>,
        onReceived: (value: T, fromNode: string) => void,
    ): void {
        const known = this.listeners.get(topic.name)
            ?? new Map<string, (value: never, fromNode: string) => void>();
        this.listeners.set(topic.name, known.set(nodeId, onReceived));
    }

    /** Lets upstreams crash one after the other, each under a request of another node. */
    async crash(count: number): Promise<void> {
        for (let index = 0; index < count; index += 1) {
            const request = createBroken(`r${index}`, ["bad"]);
            this.nodes[index % this.nodes.length].recordBreak({ id: `u${index}` }, request);
            await this.clock.advance(800);
        }
    }
}

const named = (partIds: readonly string[], identity?: string): RequestTraits => ({ partIds, identity });

const createBroken = (
    key: string,
    partIds: readonly string[],
    identity = key.slice(0, 32),
): BrokenRequest => ({
    key,
    partIds,
    identity,
    ranMs: 50,
    hasBegun: true,
});

const halfAnHourMs = 1_800_000;

describe("CrashQuarantine", () => {
    let setup: Setup;
    beforeEach(() => {
        setup = new Setup();
    });
    afterEach(() => Promise.all(setup.nodes.map(node => node.stop())));

    it("refuses a part on all nodes, though each has seen only some of its crashes", async () => {
        const nodes = [await setup.addNode(), await setup.addNode(), await setup.addNode()];
        await setup.crash(3);
        await setup.clock.advance(1_000);
        nodes.forEach(node => {
            expect(node.readRemainingMs(named(["bad"]))).toBeGreaterThan(halfAnHourMs - 10_000);
            expect(node.readRemainingMs(named(["first", "bad"]))).toBeDefined();
            expect(node.readRemainingMs(named(["other"]))).toBeUndefined();
            expect(node.readRemainingMs(named([]))).toBeUndefined();
        });
    });

    it("learns of crashes under requests whose callers name many parts, or long ones", async () => {
        const nodes = [await setup.addNode(), await setup.addNode()];
        const many = Array.from({ length: 100 }, (_unused, index) => `part${index}`);
        for (let index = 0; index < 3; index += 1) {
            const key = `r${index}`.padEnd(1_000, "x");
            const partIds = ["bad", "x".repeat(5_000), ...many.map(part => `${part}-${index}`)];
            nodes[index % 2].recordBreak({ id: `u${index}` }, createBroken(key, partIds));
            await setup.clock.advance(800);
        }
        await setup.clock.advance(1_000);
        nodes.forEach(node => expect(node.readRemainingMs(named(["bad"]))).toBeDefined());
    });

    it("does not refuse a part that another node has seen in an answer that went well", async () => {
        const nodes = [await setup.addNode(), await setup.addNode()];
        await setup.crash(2);
        nodes[1].recordSound(named(["bad"]));
        await setup.crash(2);
        await setup.clock.advance(5_000);
        nodes.forEach(node => expect(node.readRemainingMs(named(["bad"]))).toBeUndefined());
    });

    it("does not count an upstream that works on at another node", async () => {
        const nodes = [await setup.addNode(), await setup.addNode()];
        for (let index = 0; index < 4; index += 1) {
            const request = createBroken(`r${index}`, ["bad"]);
            nodes[0].recordBreak({ id: `u${index}` }, request);
            await setup.clock.advance(400);
            nodes[1].observeData({ id: `u${index}` }, -Infinity);
        }
        await setup.clock.advance(5_000);
        nodes.forEach(node => expect(node.readRemainingMs(named(["bad"]))).toBeUndefined());
    });

    it("is known to a node that starts later, by its members while the store is down", async () => {
        const first = await setup.addNode(true);
        await setup.crash(3);
        await setup.clock.advance(1_000);
        expect(first.readRemainingMs(named(["bad"]))).toBeDefined();
        setup.isStoreDown = true;
        const second = await setup.addNode();
        await setup.clock.advance(1_500);
        expect(second.readRemainingMs(named(["bad"]))).toBeDefined();
    });

    it("is known to a node that starts after all others have ended, for the rest of its time", async () => {
        const first = await setup.addNode(true);
        await setup.crash(3);
        await setup.clock.advance(2_000);
        await first.stop();
        await setup.clock.advance(600_000);
        const second = await setup.addNode(true);
        expect(second.readRemainingMs(named(["bad"]))).toBeLessThan(halfAnHourMs - 600_000);
        await setup.clock.advance(halfAnHourMs - 590_000);
        expect(second.readRemainingMs(named(["bad"]))).toBeUndefined();
        await setup.clock.advance(2_000);
        expect(setup.stored.size).toBe(0);
        await setup.clock.advance(20_000);
        expect(setup.writes).toBe(1);
    });

    it("is known to nodes that cannot reach those that know it, by the store", async () => {
        const first = await setup.addNode(true);
        setup.isCut = true;
        await setup.crash(3);
        const second = await setup.addNode();
        setup.stored.clear();
        await setup.clock.advance(2_000);
        expect(first.readRemainingMs(named(["bad"]))).toBeDefined();
        expect(second.readRemainingMs(named(["bad"]))).toBeDefined();
    });

    describe("of a request that comes again", () => {
        const repeated = named([], "again");

        /** Repeats of the request end at upstreams one after the other, each at another node. */
        const crash = async (count: number, first = 0): Promise<void> => {
            for (let index = first; index < first + count; index += 1) {
                const broken = createBroken(`id-${index}`, [], "again");
                setup.nodes[index % setup.nodes.length].recordBreak({ id: `u${index}` }, broken);
                await setup.clock.advance(80);
            }
        };

        it("refuses it on all nodes within a second of the third crash, and no other request", async () => {
            const nodes = [await setup.addNode(), await setup.addNode()];
            await crash(3);
            await setup.clock.advance(920);
            nodes.forEach(node => {
                expect(node.readRemainingMs(repeated)).toBeGreaterThan(halfAnHourMs - 1_000);
                expect(node.readRemainingMs(named(["first"], "other"))).toBeUndefined();
                expect(node.readRemainingMs(named([]))).toBeUndefined();
            });
        });

        it("suspects it on all nodes soon after the third crash", async () => {
            const nodes = [await setup.addNode(), await setup.addNode()];
            await crash(2);
            expect(nodes[0].findSuspect(repeated)).toBeUndefined();
            await crash(1, 2);
            await setup.clock.advance(120);
            nodes.forEach(node => {
                expect(node.readRemainingMs(repeated)).toBeUndefined();
                expect(node.findSuspect(repeated)).toBe(nodes[0].findSuspect(repeated));
                expect(node.findSuspect(repeated)).toBeDefined();
                expect(node.findSuspect(named([], "other"))).toBeUndefined();
            });
        });

        it("does not refuse it where another node has seen it answered since", async () => {
            const nodes = [await setup.addNode(), await setup.addNode()];
            await crash(2);
            nodes[1].recordSound(repeated);
            await setup.clock.advance(200);
            await crash(2, 2);
            await setup.clock.advance(5_000);
            nodes.forEach(node => expect(node.readRemainingMs(repeated)).toBeUndefined());
        });

        it("is not cleared by another request that names its id as a part of its prompt", async () => {
            const [node] = [await setup.addNode()];
            await crash(2);
            node.recordSound(named(["request:again"], "other"));
            await crash(1, 2);
            await setup.clock.advance(1_000);
            expect(node.readRemainingMs(repeated)).toBeDefined();
        });

        it("is known to nodes that cannot reach those that know it, and later ones, by the store", async () => {
            const first = await setup.addNode(true);
            setup.isCut = true;
            await crash(3);
            await setup.clock.advance(2_000);
            expect(first.readRemainingMs(repeated)).toBeDefined();
            const second = await setup.addNode();
            expect(second.readRemainingMs(repeated)).toBeDefined();
        });
    });
});
