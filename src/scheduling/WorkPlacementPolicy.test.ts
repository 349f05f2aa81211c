import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { BoundedAffinityPolicy } from "../placement/BoundedAffinityPolicy";
import type { PlacementPolicy, UpstreamView } from "../placement/types";
import type { WorkRequest } from "./types";
import { WorkBalance } from "./WorkBalance";
import { WorkPlacementPolicy } from "./WorkPlacementPolicy";

const service = "llm";
const slots = 4;
const reportMs = 250; // age of what nodes know of each other
const nodeCount = 4;
const upstreamCount = 8;
const durationMs = 30_000;
const arrivalMs = 26; // between requests of all nodes; with the costs below, four fifths of all places are needed
const stepMs = 1;
const seedCount = 8;

/** A kind of requests: its share, its size by the headers, and what it takes at a usual upstream. */
interface Kind {
    readonly share: number;
    readonly request: WorkRequest;
    readonly workMs: number;
}

const createKind = (share: number, route: string, account: string, workMs: number): Kind => ({
    share,
    request: { service, route, account, promptTokens: 1_000, outputTokens: 100 },
    workMs,
});

/** Requests that look alike; those of one account cost ten times as much. */
const kinds = [createKind(0.85, "chat", "a", 240), createKind(0.15, "chat", "b", 2_400)];

interface Upstream {
    readonly id: string;
    /** How many times as long as a usual one it takes. */
    readonly slowness: number;
    readonly running: { endMs: number; onEnd: () => void; }[];
    readonly queue: { readonly arrivedMs: number; readonly workMs: number; readonly onEnd: () => void; }[];
}

interface Node {
    readonly balance: WorkBalance;
    readonly policy: PlacementPolicy;
    readonly inFlight: Map<string, number>;
    /** What this node has told the others: requests and work by upstream. */
    told: { readonly inFlight: ReadonlyMap<string, number>; readonly work: ReadonlyMap<string, number>; };
}

/** Plays the load, and returns for how long requests waited for a place, by kind. */
const runLoad = async (usesWork: boolean, seed: number): Promise<number[][]> => {
    const clock = new FakeClock();
    const random = new SeededRandom(seed);
    const nodes: Node[] = [];
    for (let index = 0; index < nodeCount; index += 1) {
        nodes.push(await createNode(usesWork, clock, random, nodes));
    }
    const upstreams: Upstream[] = Array.from({ length: upstreamCount }, (_, index) => ({
        id: `u${index}`,
        slowness: index % 4 === 0 ? 2 : 1,
        running: [],
        queue: [],
    }));
    const waits: number[][] = kinds.map(() => []);
    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        await clock.advance(stepMs);
        upstreams.forEach(upstream =>
            serveQueue(upstream, nowMs, wait => waits[wait.kind].push(wait.waitedMs))
        );
        if (nowMs % reportMs === 0) {
            nodes.forEach(node => tell(node));
        }
        if (nowMs % arrivalMs === 0) {
            const node = nodes[random.drawInt(nodeCount)];
            send(node, nodes, upstreams, random.drawFloat() < kinds[0].share ? 0 : 1, nowMs);
        }
    }
    return waits;
};

const createNode = async (
    usesWork: boolean,
    clock: FakeClock,
    random: SeededRandom,
    nodes: readonly Node[],
): Promise<Node> => {
    let readOwn = (): ReadonlyMap<string, number> => new Map();
    const balance: WorkBalance = new WorkBalance({
        clock,
        sums: {
            registerContributor: (_group, read) => {
                readOwn = read;
            },
            readOthers: () =>
                sumMaps(nodes.filter(other => other.balance !== balance).map(({ told }) => told.work)),
        },
    });
    await balance.start();
    const byRequests = new BoundedAffinityPolicy({ random });
    const policy = usesWork ? new WorkPlacementPolicy({ balance, policy: byRequests }) : byRequests;
    const node: Node = {
        balance,
        policy,
        inFlight: new Map(),
        told: { inFlight: new Map(), work: new Map() },
    };
    readers.set(node, () => readOwn());
    return node;
};

const readers = new WeakMap<Node, () => ReadonlyMap<string, number>>();

const tell = (node: Node): void => {
    node.told = { inFlight: new Map(node.inFlight), work: new Map(readers.get(node)!()) };
};

const sumMaps = (maps: readonly ReadonlyMap<string, number>[]): Map<string, number> => {
    const sum = new Map<string, number>();
    maps.forEach(map => map.forEach((value, key) => sum.set(key, (sum.get(key) ?? 0) + value)));
    return sum;
};

const send = (
    node: Node,
    nodes: readonly Node[],
    upstreams: readonly Upstream[],
    kind: number,
    nowMs: number,
): void => {
    const others = sumMaps(nodes.filter(other => other !== node).map(({ told }) => told.inFlight));
    const views: UpstreamView[] = upstreams.map(({ id }) => ({
        id,
        dataCentre: "a",
        slots,
        inFlight: (node.inFlight.get(id) ?? 0) + (others.get(id) ?? 0),
    }));
    const { id } = node.policy.choose({ service, affinityKey: undefined }, views)!;
    const upstream = upstreams.find(candidate => candidate.id === id)!;
    node.inFlight.set(id, (node.inFlight.get(id) ?? 0) + 1);
    const work = node.balance.begin(id, kinds[kind].request);
    upstream.queue.push({
        arrivedMs: nowMs,
        workMs: kinds[kind].workMs * upstream.slowness,
        onEnd: () => {
            node.inFlight.set(id, node.inFlight.get(id)! - 1);
            work.end(true);
        },
    });
    kindsOfQueued.set(upstream.queue.at(-1)!, kind);
};

const kindsOfQueued = new WeakMap<object, number>();

const serveQueue = (
    upstream: Upstream,
    nowMs: number,
    onBegin: (wait: { readonly kind: number; readonly waitedMs: number; }) => void,
): void => {
    for (const ended of upstream.running.filter(({ endMs }) => endMs <= nowMs)) {
        upstream.running.splice(upstream.running.indexOf(ended), 1);
        ended.onEnd();
    }
    while (upstream.running.length < slots && upstream.queue.length > 0) {
        const next = upstream.queue.shift()!;
        upstream.running.push({ endMs: nowMs + next.workMs, onEnd: next.onEnd });
        onBegin({ kind: kindsOfQueued.get(next)!, waitedMs: nowMs - next.arrivedMs });
    }
};

const aimMs = 300;
const computeLateShare = (waits: readonly number[]): number =>
    waits.filter(waitedMs => waitedMs > aimMs).length / waits.length;

describe("WorkPlacementPolicy", () => {
    // Guards against requests that wait behind dear ones, or at slow upstreams, while others have room.
    it("makes fewer requests of each kind wait beyond their aim than the number of requests does", async () => {
        const late = { byRequests: kinds.map(() => 0), byWork: kinds.map(() => 0) };
        for (let seed = 1; seed <= seedCount; seed += 1) {
            const played = { byRequests: await runLoad(false, seed), byWork: await runLoad(true, seed) };
            for (const [kind] of kinds.entries()) {
                late.byRequests[kind] += computeLateShare(played.byRequests[kind]) / seedCount;
                late.byWork[kind] += computeLateShare(played.byWork[kind]) / seedCount;
            }
        }
        for (const [kind] of kinds.entries()) {
            expect(late.byWork[kind]).toBeLessThan(late.byRequests[kind]);
        }
    });

    it("chooses as by requests while nothing is known of what they cost", () => {
        const balance = { computeLoad: (_service: string, view: UpstreamView) => view.inFlight };
        const policy = new WorkPlacementPolicy({
            balance,
            policy: new BoundedAffinityPolicy({ random: new SeededRandom(1) }),
        });
        const views = [5, 1, 3].map((inFlight, index) => ({
            id: `u${index}`,
            dataCentre: "a",
            slots,
            inFlight,
        }));
        expect(policy.choose({ service, affinityKey: undefined }, views)).toBe(views[1]);
        expect(policy.choose({ service, affinityKey: undefined }, [])).toBeUndefined();
    });
});
