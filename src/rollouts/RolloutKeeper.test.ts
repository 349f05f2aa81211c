import { ObservableValue } from "../_lib/ObservableValue";
import { StoreEra } from "../feeds/StoreEra";
import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import type { Lease } from "../leases/Lease";
import type { Readiness } from "../membership/Readiness";
import { GossipMap } from "../peers/GossipMap";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import { MemoryTableService } from "../platform/MemoryTableService";
import { StoreError } from "../platform/StoreError";
import type { ServingState } from "../routes/ServingState";
import type { OperatorRecord } from "../routes/types";
import { EventLog } from "../telemetry/EventLog";
import { RolloutKeeper } from "./RolloutKeeper";
import { RolloutTracker } from "./RolloutTracker";
import type { RolloutOrder, RolloutPhase, RolloutRecord } from "./types";

const service = "app";
const stepMs = 1_000;
const durationMs = 20_000;
const configuration = {
    version: 1,
    routes: [],
    services: [{ name: service, maxConnections: 1 }],
    accounts: [],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const createOrder = (fields: Partial<RolloutOrder> = {}): RolloutOrder => ({
    kind: "rollout-order",
    service,
    version: "v2",
    durationMs,
    revision: 5,
    ...fields,
});

/** A store that can be away. */
class Store extends MemoryTableService {
    isAway = false;

    override async transact(
        ...args: Parameters<MemoryTableService["transact"]>
    ): ReturnType<MemoryTableService["transact"]> {
        if (this.isAway) {
            throw new StoreError("away", "none");
        }
        return super.transact(...args);
    }
}

/** One node with its part of the roll-outs; it hears of the others through the store alone. */
class Node {
    isHolder = false;
    readonly orders = new ObservableValue<ReadonlyMap<string, OperatorRecord> | undefined>(undefined);
    readonly tracker: RolloutTracker;
    readonly keeper: RolloutKeeper;

    constructor(readonly clock: FakeClock, tables: Store, storeEra: StoreEra, fencing: number) {
        const events = new EventLog({ node: `n${fencing}`, clock });
        const listed = ["v1", "v2"].map(softwareVersion => ({
            instance: { id: softwareVersion, softwareVersion },
        }));
        const instances = {
            listInService: () => listed,
            listUsable: () => listed,
            countOwnInFlight: () => 0,
        } as unknown as InstanceRegistry;
        const readiness = { countLive: () => 1, countPresumedLive: () => 1 } as Readiness;
        this.tracker = new RolloutTracker({
            feed: { records: this.orders },
            gossip: new GossipMap({ nodeId: `n${fencing}`, hybridClock: events.hybridClock }),
            sums: { registerContributor: () => {}, readOthers: () => new Map() },
            instances,
            readiness,
            tables,
            bounds: { exposureShare: 0.1, exposureSlack: 50 },
            clock,
            random: new SeededRandom(1),
            events,
        });
        this.keeper = new RolloutKeeper({
            tracker: this.tracker,
            lease: {
                readHeld: () =>
                    this.isHolder
                        ? { fencing, remainingMs: 1_000, monotonicAgeMs: 0, wallAgeMs: 0 }
                        : undefined,
            } as Lease,
            state: { table: { value: { configuration } } } as unknown as ServingState,
            instances,
            readiness,
            tables,
            storeClock: { readStoreMs: () => clock.readMonotonicMs() },
            storeEra,
            createStatusWrite: record => ({
                table: "status",
                key: record.service,
                condition: { kind: "any" },
                value: record.phase,
            }),
            clock,
            events,
        });
    }

    async start(order?: RolloutOrder): Promise<void> {
        await this.tracker.start();
        await this.keeper.start();
        this.setOrder(order);
    }

    setOrder(order: RolloutOrder | undefined): void {
        this.orders.set(new Map(order ? [[`rollout/${service}`, order]] : []));
    }

    /** Counts answers by which the version is good. */
    countGoodAnswers(): void {
        const { counters } = this.tracker.findState(service)!;
        for (let index = 0; index < 400; index += 1) {
            counters.countBaseline("r", "good");
        }
        for (let index = 0; index < 100; index += 1) {
            counters.countCandidate("r", `u${index % 2}`, "good");
        }
    }
}

describe("RolloutKeeper", () => {
    let clock: FakeClock;
    let store: Store;
    let era: StoreEra;
    let first: Node;
    let second: Node;

    beforeEach(() => {
        clock = new FakeClock();
        store = new Store();
        era = new StoreEra();
        era.observe(1);
        first = new Node(clock, store, era, 1);
        second = new Node(clock, store, era, 2);
    });

    afterEach(async () => {
        await Promise.all([first, second].flatMap(({ keeper, tracker }) => [keeper.stop(), tracker.stop()]));
    });

    const readRecord = async (): Promise<RolloutRecord | undefined> =>
        (await store.read([{ table: "rollouts", key: service }]))[0]?.value as RolloutRecord | undefined;

    const readStatus = async (): Promise<RolloutPhase | undefined> =>
        (await store.read([{ table: "status", key: service }]))[0]?.value as RolloutPhase | undefined;

    it("makes no call while there is no order", async () => {
        first.isHolder = true;
        await first.start();
        await clock.advance(10 * stepMs);
        expect([store.transactions, store.reads]).toEqual([0, 0]);
    });

    it("leads a good version through all phases, each written with its status", async () => {
        first.isHolder = true;
        await first.start(createOrder());
        await clock.advance(stepMs);
        expect(await readStatus()).toBe("trial");
        first.countGoodAnswers();
        await clock.advance(durationMs * 0.8);
        expect(await readStatus()).toBe("moving");
        await clock.advance(5 * stepMs);
        expect(await readRecord()).toMatchObject({ phase: "completed", replaced: ["v1"], fencing: 1 });
    });

    // Guards against a former holder that does not know yet that it is one, and takes a step back.
    it("follows what another holder has written, in place of writing over it", async () => {
        first.isHolder = true;
        await Promise.all([first.start(createOrder()), second.start(createOrder())]);
        await clock.advance(stepMs);
        second.isHolder = true;
        await clock.advance(stepMs);
        second.setOrder(undefined);
        await clock.advance(stepMs);
        expect(await readRecord()).toMatchObject({ phase: "rolled-back", fencing: 2 });
        first.countGoodAnswers();
        await clock.advance(durationMs);
        expect(await readRecord()).toMatchObject({ phase: "rolled-back", fencing: 2 });
        expect(first.tracker.findState(service)!.record.phase).toBe("rolled-back");
    });

    // Guards against a step that nodes take and the store has not, when its holder is lost.
    it("tells the nodes of a step only when it is written, and writes it when the store is back", async () => {
        first.isHolder = true;
        await first.start(createOrder());
        await clock.advance(stepMs);
        store.isAway = true;
        first.setOrder(undefined);
        await clock.advance(9 * stepMs);
        expect(first.tracker.findState(service)!.record.phase).toBe("trial");
        store.isAway = false;
        await clock.advance(stepMs);
        expect(await readStatus()).toBe("rolled-back");
    });

    // Guards against an order that starts over, or an earlier one that runs again, after a restore of the store.
    it("writes again what a store that was restored from an older copy has lost", async () => {
        const earlier = createOrder({ version: "v1", revision: 2 });
        first.isHolder = true;
        await first.start(earlier);
        await clock.advance(stepMs);
        const copy = store.takeCopy();
        first.setOrder(createOrder());
        await clock.advance(stepMs);
        const { startedStoreMs } = (await readRecord())!;
        store.restore(copy);
        era.observe(2);
        first.setOrder(earlier);
        await clock.advance(stepMs);
        expect(await readRecord()).toMatchObject({ version: "v2", phase: "trial", startedStoreMs });
        first.setOrder(createOrder({ revision: 4 }));
        await clock.advance(stepMs);
        expect(await readRecord()).toMatchObject({ version: "v2", phase: "trial", startedStoreMs });
    });

    it("rolls back what another order replaces, and bars its version", async () => {
        first.isHolder = true;
        await first.start(createOrder());
        await clock.advance(stepMs);
        first.setOrder(createOrder({ version: "v3", revision: 8 }));
        await clock.advance(stepMs);
        expect(await readRecord()).toMatchObject({ version: "v3", phase: "trial", barred: ["v2"] });
    });
});
