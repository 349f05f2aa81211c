import fc from "fast-check";
import { FeedFollower } from "../feeds/FeedFollower";
import { StoreClock } from "../feeds/StoreClock";
import { StoreEra } from "../feeds/StoreEra";
import type { FeedChanges, FeedSnapshot, RecordFeed } from "../feeds/types";
import { FakeClock } from "../kernel/FakeClock";
import type { Clock } from "../kernel/types";
import type { PeerHandler } from "../peers/PeerMessageRouter";
import type { UpstreamInstance } from "../placement/types";
import { MemoryTableService } from "../platform/MemoryTableService";
import { StoreError } from "../platform/StoreError";
import type { Row, TransactionOutcome } from "../platform/types";
import { EventLog } from "../telemetry/EventLog";
import { SoftwareVersions } from "./SoftwareVersions";
import { type SoleVersion, SoleVersions, type SoleVersionsOptions } from "./SoleVersions";
import { VersionRecords } from "./VersionRecords";

const service = "llm";
const windowMs = 20_000;
const waitMs = 1_000;
const tickMs = 20;
const storeCallMs = 4;
const slowCallMs = 220;
const callTimeoutMs = 700;
const goneMs = 1_200; // a node that is out of reach writes no longer for all
const minLifeMs = 3_000; // an upstream that crashes is listed for three heartbeats
const nodeCount = 3;

/** How a node is out of step; `still` and `suspended` ones run nothing, and the steady clock of the latter stands still. */
const outOfStepKinds = ["store", "members", "both", "still", "suspended"] as const;
type OutOfStep = typeof outOfStepKinds[number];

/** Entries of upstreams by id, at each position of the feed. */
class FakeStore {
    readonly history: ReadonlyMap<string, UpstreamInstance>[] = [new Map()];
    readonly tables = new MemoryTableService();
    /** Time of each call, in milliseconds. */
    callMs = storeCallMs;

    constructor(readonly clock: FakeClock) {}

    get position(): number {
        return this.history.length - 1;
    }

    get listed(): ReadonlyMap<string, UpstreamInstance> {
        return this.history[this.position];
    }

    set(id: string, softwareVersion: string | undefined): void {
        const next = new Map(this.listed);
        next.delete(id);
        if (softwareVersion !== undefined) {
            next.set(id, { id, service, softwareVersion } as UpstreamInstance);
        }
        this.history.push(next);
    }
}

/** One node, with its clocks, its way to the store and to the members. */
class FakeNode implements RecordFeed<UpstreamInstance>, Clock {
    readonly handlers = new Map<string, PeerHandler>();
    readonly versions: SoftwareVersions;
    readonly sole: SoleVersions;
    readonly follower: FeedFollower<UpstreamInstance>;
    private readonly records: VersionRecords;
    outOfStep: OutOfStep | undefined;
    outSinceMs = Infinity;
    storeCalls = 0;
    private lostMs = 0;

    constructor(readonly index: number, private readonly cluster: Cluster) {
        const events = new EventLog({ node: `n${index}`, clock: this });
        const storeClock = new StoreClock({ clock: this });
        const storeEra = new StoreEra();
        storeEra.observe(1);
        this.follower = new FeedFollower({
            name: "f",
            feed: this,
            clock: this,
            storeClock,
            storeEra,
            events,
            waitMs,
        });
        this.versions = new SoftwareVersions({
            feed: this.follower,
            clock: this,
            readWindowMs: () => windowMs,
        });
        this.records = new VersionRecords({
            tables: this.createTables(),
            versions: this.versions,
            storeClock,
            isWriter: () => cluster.isWriter(this),
            clock: this,
            events,
        });
        const network: SoleVersionsOptions["network"] = {
            call: (nodeId, method, payload, timeoutMs) =>
                cluster.call(this, Number(nodeId), method, payload, timeoutMs),
            registerHandler: (method, handler) => this.handlers.set(method, handler),
        };
        this.sole = new SoleVersions({
            feed: this.follower,
            versions: this.versions,
            records: this.records,
            network,
            listReaders: () => cluster.nodes.filter(node => node !== this).map(node => String(node.index)),
            clock: this,
        });
    }

    get isStill(): boolean {
        return this.outOfStep === "still" || this.outOfStep === "suspended";
    }

    get hasStore(): boolean {
        return this.outOfStep === undefined || this.outOfStep === "members";
    }

    get hasMembers(): boolean {
        return this.outOfStep === undefined || this.outOfStep === "store";
    }

    async start(): Promise<void> {
        await this.follower.start();
        await this.versions.start();
        await this.sole.start();
        await this.cluster.clock.advance(100);
        void this.records.start();
        await this.cluster.clock.advance(100);
    }

    async stop(): Promise<void> {
        await Promise.all([this.follower.stop(), this.records.stop()]);
    }

    setOutOfStep(kind: OutOfStep | undefined): void {
        const nowMs = this.cluster.clock.readMonotonicMs();
        if (this.outOfStep === "suspended") {
            this.lostMs += nowMs - this.outSinceMs;
        }
        this.outOfStep = kind;
        this.outSinceMs = kind === undefined ? Infinity : nowMs;
    }

    readWallMs(): number {
        return this.cluster.clock.readWallMs();
    }

    readMonotonicMs(): number {
        const nowMs = this.cluster.clock.readMonotonicMs();
        const lostNowMs = this.outOfStep === "suspended" ? nowMs - this.outSinceMs : 0;
        return nowMs - this.lostMs - lostNowMs;
    }

    async sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        await this.cluster.clock.sleep(delayMs, signal);
        await this.cluster.waitUntil(() => !this.isStill, signal);
    }

    list(): Promise<FeedSnapshot<UpstreamInstance>> {
        const { store } = this.cluster;
        return this.callStore(async () => ({
            records: store.listed,
            position: store.position,
            storeMs: store.clock.readMonotonicMs(),
        }), callTimeoutMs);
    }

    waitForChanges(position: number, limitMs: number): Promise<FeedChanges<UpstreamInstance> | undefined> {
        const { store, clock } = this.cluster;
        return this.callStore(async () => {
            const endMs = clock.readMonotonicMs() + limitMs;
            while (store.position === position && clock.readMonotonicMs() < endMs) {
                await clock.sleep(tickMs);
            }
            const [before, now] = [store.history[position], store.listed];
            const keys = [...new Set([...before.keys(), ...now.keys()])]
                .filter(key => before.get(key) !== now.get(key));
            return {
                changes: new Map(keys.map(key => [key, now.get(key)])),
                position: store.position,
                storeMs: clock.readMonotonicMs(),
            };
        }, limitMs + callTimeoutMs);
    }

    private createTables(): MemoryTableService {
        const { tables } = this.cluster.store;
        const call = <T>(run: () => Promise<T>): Promise<T> => this.callStore(run, callTimeoutMs);
        return Object.assign(Object.create(tables) as MemoryTableService, {
            list: (...words: Parameters<MemoryTableService["list"]>): Promise<readonly Row[]> =>
                call(() => tables.list(...words)),
            transact: (
                ...words: Parameters<MemoryTableService["transact"]>
            ): Promise<TransactionOutcome> => call(() => tables.transact(...words)),
        });
    }

    /** Calls the store; what it sends while the node is out of its reach arrives later, or not before a time-out. */
    private async callStore<T>(run: () => Promise<T>, timeoutMs: number): Promise<T> {
        const { clock } = this.cluster;
        this.storeCalls += 1;
        const endMs = this.readMonotonicMs() + timeoutMs;
        const hasFailed = (): boolean => this.readMonotonicMs() > endMs && !this.isStill;
        await this.cluster.waitUntil(() => this.hasStore || hasFailed());
        if (!this.hasStore) {
            throw new StoreError("no answer", "unknown");
        }
        await clock.sleep(this.cluster.store.callMs);
        const answer = await run();
        await this.cluster.waitUntil(() => this.hasStore || hasFailed());
        if (!this.hasStore) {
            throw new StoreError("no answer", "unknown");
        }
        return answer;
    }
}

class Cluster {
    readonly clock = new FakeClock();
    readonly store = new FakeStore(this.clock);
    readonly nodes: FakeNode[];

    constructor() {
        this.nodes = Array.from({ length: nodeCount }, (_unused, index) => new FakeNode(index, this));
    }

    async start(): Promise<void> {
        this.store.set("v1", "v1");
        for (const node of this.nodes) {
            await node.start();
        }
        await this.runFor(2_000);
    }

    async stop(): Promise<void> {
        this.nodes.forEach(node => node.setOutOfStep(undefined));
        const stopped = Promise.all(this.nodes.map(node => node.stop()));
        await this.runFor(4_000);
        await stopped;
    }

    async runFor(durationMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += tickMs) {
            await this.clock.advance(tickMs);
        }
    }

    async waitUntil(condition: () => boolean, signal?: AbortSignal): Promise<void> {
        while (!condition() && !signal?.aborted) {
            await this.clock.sleep(tickMs);
        }
    }

    /** The first node writes; the next one that is in step takes its place a moment after it is out of reach. */
    isWriter(node: FakeNode): boolean {
        const nowMs = this.clock.readMonotonicMs();
        return this.nodes.slice(0, node.index).every(other => nowMs - other.outSinceMs > goneMs);
    }

    async call(
        from: FakeNode,
        to: number,
        method: string,
        payload: unknown,
        timeoutMs: number,
    ): Promise<unknown> {
        const node = this.nodes[to];
        if (!from.hasMembers || !node.hasMembers) {
            throw new Error("not reached");
        }
        const late = from.sleep(timeoutMs).then(() => Promise.reject(new Error("no reply")));
        return Promise.race([node.handlers.get(method)!(payload, String(from.index)), late]);
    }
}

interface Begun {
    readonly version: string;
    readonly atMs: number;
}

describe("SoleVersions", () => {
    let cluster: Cluster;

    const findAt = async (index: number): Promise<string | undefined> => {
        const found = cluster.nodes[index].sole.find(service);
        await cluster.runFor(600);
        return (await found).version;
    };

    beforeEach(async () => {
        cluster = new Cluster();
        await cluster.start();
    });

    afterEach(() => cluster.stop());

    it("finds the only version, by one call of the store for all that ask at the same time", async () => {
        const [node] = cluster.nodes;
        const before = node.storeCalls;
        const found = Promise.all(Array.from({ length: 50 }, () => node.sole.find(service)));
        await cluster.runFor(100);
        expect(new Set((await found).map(({ version }) => version))).toEqual(new Set(["v1"]));
        expect(node.storeCalls - before).toBeLessThanOrEqual(2); // one of them waits for changes anyway
    });

    // Guards against streams refused for nothing: a question that waits for the next call of a slow store.
    it("finds the only version while the store is slow and all nodes ask again and again", async () => {
        cluster.store.callMs = slowCallMs;
        const found: Promise<SoleVersion>[] = [];
        for (let round = 0; round < 4; round += 1) {
            found.push(...cluster.nodes.map(node => node.sole.find(service)));
            await cluster.runFor(60);
        }
        await cluster.runFor(1_000);
        expect(new Set((await Promise.all(found)).map(({ version }) => version))).toEqual(new Set(["v1"]));
    });

    it("costs no call of the store while there are several", async () => {
        cluster.store.set("v2", "v2");
        await cluster.runFor(100);
        const before = cluster.nodes[0].storeCalls;
        expect(await cluster.nodes[0].sole.find(service)).toEqual({ version: undefined, isConfirmed: false });
        expect(cluster.nodes[0].storeCalls).toBe(before);
    });

    it.each(outOfStepKinds)("finds none that it has not read of: %s", async kind => {
        cluster.nodes[2].setOutOfStep(kind);
        cluster.store.set("v2", "v2");
        await cluster.runFor(200);
        if (!cluster.nodes[2].isStill) {
            expect(await findAt(2)).toBeUndefined();
        }
        cluster.nodes[2].setOutOfStep(undefined);
        expect(await findAt(2)).toBeUndefined();
    });

    it("finds none where a version came and went while the node was out of step, until no stream of it is left", async () => {
        cluster.nodes[0].setOutOfStep("both");
        cluster.store.set("v2", "v2");
        await cluster.runFor(minLifeMs);
        cluster.store.set("v2", undefined);
        await cluster.runFor(100);
        cluster.nodes[0].setOutOfStep(undefined);
        await cluster.runFor(3_000);
        expect(await findAt(0)).toBeUndefined();
        await cluster.runFor(windowMs);
        expect(await findAt(0)).toBe("v1");
    });

    it("is told by a member while the node itself does not reach the store", async () => {
        cluster.nodes[2].setOutOfStep("store");
        await cluster.runFor(500);
        expect(await findAt(2)).toBe("v1");
    });

    it("finds none while nobody reaches the store", async () => {
        cluster.nodes.forEach(node => node.setOutOfStep("store"));
        await cluster.runFor(200);
        expect(await findAt(1)).toBeUndefined();
    });

    describe("whatever happens to versions and to one node at a time", () => {
        const stepKinds = ["join", "leave", "out", "heal", "begin", "take-up", "take-up", "take-up"] as const;
        const step = fc.record({
            kind: fc.constantFrom(...stepKinds),
            node: fc.nat(nodeCount - 1),
            outOfStep: fc.constantFrom(...outOfStepKinds),
            version: fc.constantFrom("v1", "v2", "v3"),
            durationMs: fc.constantFrom(0, 20, 100, 400, 1_500, 4_000),
        });

        it("finds no other version than the one at which a stream has begun", async () => {
            await fc.assert(
                fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 16 }), async steps => {
                    const own = new Cluster();
                    await own.start();
                    const joinedMs = new Map<string, number>([["v1", -Infinity]]);
                    const begun: Begun[] = [];
                    const found: Promise<void>[] = [];
                    const mixed: string[] = [];
                    const takeUp = async (node: FakeNode): Promise<void> => {
                        const nowMs = own.clock.readMonotonicMs();
                        const open = begun.filter(({ atMs }) => nowMs - atMs < windowMs / 2);
                        const { version } = await node.sole.find(service);
                        open.filter(stream => version !== undefined && version !== stream.version)
                            .forEach(stream => mixed.push(`${stream.version} went on at ${version}`));
                    };
                    for (const { kind, node: index, outOfStep, version, durationMs } of steps) {
                        const node = own.nodes[index];
                        const nowMs = own.clock.readMonotonicMs();
                        const isListed = own.store.listed.has(version);
                        if (kind === "join" && !isListed) {
                            own.store.set(version, version);
                            joinedMs.set(version, nowMs);
                        }
                        if (kind === "leave" && isListed && nowMs - joinedMs.get(version)! >= minLifeMs) {
                            own.store.set(version, undefined);
                        }
                        if (kind === "out" || kind === "heal") {
                            own.nodes.filter(({ outOfStep: now }) => now !== undefined)
                                .forEach(other => other.setOutOfStep(undefined));
                        }
                        if (kind === "out") {
                            node.setOutOfStep(outOfStep);
                        }
                        if (kind === "begin" && !node.isStill) {
                            const known = [...(node.follower.records.value ?? new Map()).keys()];
                            begun.push(...known.map(id => ({ version: id, atMs: nowMs })));
                        }
                        if (kind === "take-up" && !node.isStill) {
                            found.push(takeUp(node));
                        }
                        await own.runFor(durationMs);
                    }
                    await own.stop();
                    await Promise.all(found);
                    expect(mixed).toEqual([]);
                }),
                { seed: Number(process.env.FUZZ_FROM ?? 1), numRuns: Number(process.env.FUZZ_RUNS ?? 40) },
            );
        });
    });
});
