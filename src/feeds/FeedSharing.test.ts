import fc from "fast-check";
import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { EventLog } from "../telemetry/EventLog";
import { FeedFollower } from "./FeedFollower";
import { StoreClock } from "./StoreClock";
import { StoreEra } from "./StoreEra";
import type { FeedChanges, FeedSnapshot, FeedUpdate, RecordFeed } from "./types";

const waitMs = 1_000;
const storeAheadMs = 5_000;
const pollMs = 10;

/** Store with one feed, whose history is kept in full. */
class FakeStore {
    version = 0;
    /** Records at each version, from 0. */
    readonly history: ReadonlyMap<string, number>[] = [new Map()];
    /** Time of each version on the store's clock, in milliseconds. */
    readonly writtenMs: number[] = [0];

    constructor(readonly clock: FakeClock) {}

    readMs(): number {
        return this.clock.readMonotonicMs() + storeAheadMs;
    }

    /** Writes to another table, which raises the version that all tables share. */
    writeElsewhere(): void {
        this.add(this.history[this.version]);
    }

    write(key: string, isRemoval: boolean): void {
        const next = new Map(this.history[this.version]);
        if (isRemoval) {
            next.delete(key);
        }
        else {
            next.set(key, this.version + 1);
        }
        this.add(next);
    }

    private add(records: ReadonlyMap<string, number>): void {
        this.version += 1;
        this.history.push(records);
        this.writtenMs.push(this.readMs());
    }
}

/** One node's access to the store, and its follower. */
class FakeNode implements RecordFeed<number> {
    calls = 0;
    lists = 0;
    /** Readings passed on. */
    published = 0;
    isTurnedAway = false;
    rank: number;
    readonly follower: FeedFollower<number>;

    constructor(readonly index: number, private readonly store: FakeStore, storeEra: StoreEra) {
        const { clock } = store;
        this.rank = index;
        this.follower = new FeedFollower<number>({
            name: "f",
            feed: this,
            clock,
            storeClock: new StoreClock({ clock }),
            storeEra,
            events: new EventLog({ node: `n${index}`, clock }),
            waitMs,
        });
    }

    async list(): Promise<FeedSnapshot<number>> {
        this.lists += 1;
        await this.begin();
        const { version: position, history } = this.store;
        return { records: history[position], position, storeMs: this.store.readMs() };
    }

    async waitForChanges(position: number, limitMs: number): Promise<FeedChanges<number> | undefined> {
        await this.begin();
        const { store } = this;
        const endMs = store.readMs() + limitMs;
        while (store.version === position && store.readMs() < endMs) {
            await store.clock.sleep(pollMs);
        }
        const [before, now] = [store.history[position], store.history[store.version]];
        const keys = [...new Set([...before.keys(), ...now.keys()])].filter(key =>
            before.get(key) !== now.get(key)
        );
        return {
            changes: new Map(keys.map(key => [key, now.get(key)])),
            position: store.version,
            storeMs: store.readMs(),
        };
    }

    private async begin(): Promise<void> {
        this.calls += 1;
        await this.store.clock.sleep(4);
        if (this.isTurnedAway) {
            throw new Error("turned away");
        }
    }
}

class Cluster {
    readonly clock = new FakeClock();
    readonly store = new FakeStore(this.clock);
    readonly nodes: FakeNode[];
    lossShare = 0;

    constructor(count: number, private readonly random: SeededRandom) {
        this.nodes = Array.from({ length: count }, (_, index) => {
            const era = new StoreEra();
            era.observe(1);
            return new FakeNode(index, this.store, era);
        });
    }

    async start(): Promise<void> {
        for (const node of this.nodes) {
            await node.follower.start();
        }
        await this.clock.advance(100);
        this.nodes.forEach(node =>
            node.follower.setSharing({
                readRank: () => node.rank,
                publish: update => this.deliver(node, update),
            })
        );
        await this.clock.advance(3_000);
    }

    async stop(): Promise<void> {
        const stopped = Promise.all(this.nodes.map(node => node.follower.stop()));
        await this.clock.advance(5_000);
        await stopped;
    }

    /** Checks that every node holds the store's records of some version, and knows their age. */
    checkRecords(): void {
        for (const { follower } of this.nodes) {
            const records = follower.records.value!;
            const nowMs = this.store.readMs();
            const confirmedMs = nowMs - follower.readAgeMs();
            const isSame = (version: number): boolean => isEqual(this.store.history[version], records);
            const versions = this.store.history.map((_, version) => version).filter(isSame);
            expect(versions).not.toHaveLength(0);
            const firstMissing = this.store.writtenMs[Math.max(...versions) + 1] ?? Infinity;
            expect(confirmedMs).toBeLessThanOrEqual(firstMissing + 1);
        }
    }

    private deliver(from: FakeNode, update: FeedUpdate<number>): void {
        from.published += 1;
        for (const node of this.nodes.filter(other => other !== from)) {
            if (this.random.drawFloat() >= this.lossShare) {
                void this.clock.sleep(1 + this.random.drawInt(50)).then(() => node.follower.receive(update));
            }
        }
    }
}

const isEqual = (a: ReadonlyMap<string, number>, b: ReadonlyMap<string, number>): boolean =>
    a.size === b.size && [...a].every(([key, value]) => b.get(key) === value);

describe("shared readings of a feed", () => {
    let cluster: Cluster;

    const countCalls = (): number[] => cluster.nodes.map(node => node.calls);

    const runFor = async (durationMs: number): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += pollMs) {
            await cluster.clock.advance(pollMs);
        }
    };

    /** Lets all nodes wait for changes, then ranks them; returns how many readings each has passed on. */
    const waitTogether = async (): Promise<number[]> => {
        cluster.nodes.forEach(node => {
            node.rank = 0;
        });
        await runFor(1_500);
        cluster.nodes.forEach(node => {
            node.rank = node.index;
        });
        return cluster.nodes.map(node => node.published);
    };

    beforeEach(async () => {
        cluster = new Cluster(6, new SeededRandom(5));
        await cluster.start();
    });

    afterEach(() => cluster.stop());

    it("are made by two nodes, from which all others learn changes and their age at once", async () => {
        const before = countCalls();
        cluster.store.write("a", false);
        await runFor(100);
        expect(cluster.nodes.map(node => node.follower.records.value?.get("a"))).toEqual([1, 1, 1, 1, 1, 1]);
        await runFor(10_000);
        expect(countCalls().slice(2)).toEqual(before.slice(2));
        cluster.nodes.forEach(node => expect(node.follower.readAgeMs()).toBeLessThan(1_200));
    });

    it("are not passed on by a node that others read for since, where they hold no change", async () => {
        const before = await waitTogether();
        await runFor(4_000);
        expect(cluster.nodes.slice(2).map(node => node.published)).toEqual(before.slice(2));
        expect(cluster.nodes[0].published).toBeGreaterThan(before[0]);
    });

    // Guards against nodes that start together, and each pass on what each of them reads.
    it("are passed on by the two nodes that read for all, also where others wait for changes", async () => {
        const before = await waitTogether();
        cluster.store.write("a", false);
        await runFor(100);
        expect(cluster.nodes.map(node => node.follower.records.value?.get("a"))).toEqual([1, 1, 1, 1, 1, 1]);
        expect(cluster.nodes.slice(2).map(node => node.published)).toEqual(before.slice(2));
        const lists = cluster.nodes.map(node => node.lists);
        await runFor(4_000);
        expect(cluster.nodes.map(node => node.lists)).toEqual(lists);
    });

    it("are made by the next node when the first ones are turned away, within 1.4 s", async () => {
        cluster.nodes[0].isTurnedAway = true;
        cluster.nodes[1].isTurnedAway = true;
        await runFor(100);
        const before = countCalls();
        cluster.store.write("a", false);
        await runFor(1_400);
        cluster.nodes.forEach(node => expect(node.follower.records.value?.get("a")).toBe(1));
        await runFor(8_000);
        expect(countCalls().slice(3)).toEqual(before.slice(3));
        cluster.nodes.forEach(node => expect(node.follower.readAgeMs()).toBeLessThan(1_700));
    });

    it("need no listing by other nodes where one that confirmed its records begins to read for all", async () => {
        cluster.nodes[0].isTurnedAway = true;
        cluster.nodes[1].isTurnedAway = true;
        const readers = cluster.nodes.slice(0, 2);
        const published = readers.map(node => node.published);
        while (readers.some((node, index) => node.published === published[index])) {
            await runFor(pollMs); // the calls that are under way are still answered
        }
        cluster.store.writeElsewhere();
        const confirmed = cluster.nodes[2].follower.confirm();
        await runFor(100);
        expect(await confirmed).toBe(true);
        const before = cluster.nodes.slice(3).map(node => node.lists);
        await runFor(4_000);
        expect(cluster.nodes.slice(3).map(node => node.lists)).toEqual(before);
        cluster.nodes.forEach(node => expect(node.follower.readAgeMs()).toBeLessThan(1_700));
    });

    it("are replaced by a node's own when nothing reaches it", async () => {
        cluster.lossShare = 1;
        cluster.store.write("a", false);
        await runFor(2_200);
        cluster.nodes.forEach(node => expect(node.follower.records.value?.get("a")).toBe(1));
    });

    it("leave each node with the records of one version and a true age, whatever is lost or refused", async () => {
        const step = fc.record({
            key: fc.constantFrom("a", "b", "c"),
            isRemoval: fc.boolean(),
            loss: fc.constantFrom(0, 0.3, 1),
            turnedAway: fc.array(fc.nat(5), { maxLength: 4 }),
            durationMs: fc.integer({ min: 10, max: 1_500 }),
        });
        await fc.assert(
            fc.asyncProperty(
                fc.integer(),
                fc.array(step, { minLength: 1, maxLength: 8 }),
                async (seed, steps) => {
                    const own = new Cluster(6, new SeededRandom(seed));
                    await own.start();
                    for (const { key, isRemoval, loss, turnedAway, durationMs } of steps) {
                        own.store.write(key, isRemoval);
                        own.lossShare = loss;
                        own.nodes.forEach(node => {
                            node.isTurnedAway = turnedAway.includes(node.index);
                        });
                        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
                            await own.clock.advance(50);
                            own.checkRecords();
                        }
                    }
                    await own.stop();
                },
            ),
            { seed: 3, numRuns: 12 },
        );
    });
});
