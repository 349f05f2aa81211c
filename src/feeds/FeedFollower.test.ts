import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { FeedFollower } from "./FeedFollower";
import { StoreClock } from "./StoreClock";
import { StoreEra } from "./StoreEra";
import type { FeedChanges, FeedSnapshot, RecordFeed } from "./types";

type Change = FeedChanges<string> | undefined;

/** Feed whose answers the test controls. */
class FakeFeed implements RecordFeed<string> {
    listCount = 0;
    content = new Map([["a", "1"]]);
    isDown = false;
    storeAheadMs = 5_000;
    /** Number of calls for changes. */
    waitCount = 0;
    pendingWait: { resolve: (change: Change) => void; reject: (error: Error) => void; } | undefined;

    constructor(private readonly clock: FakeClock) {}

    async list(): Promise<FeedSnapshot<string>> {
        this.listCount += 1;
        if (this.isDown) {
            throw new Error("down");
        }
        return { records: new Map(this.content), position: this.listCount, storeMs: this.readStoreMs() };
    }

    waitForChanges(): Promise<Change> {
        this.waitCount += 1;
        return new Promise((resolve, reject) => {
            this.pendingWait = { resolve, reject };
        });
    }

    sendChanges(changes: [string, string | undefined][]): void {
        this.pendingWait!.resolve({ changes: new Map(changes), position: 9, storeMs: this.readStoreMs() });
    }

    readStoreMs(): number {
        return this.clock.readMonotonicMs() + this.storeAheadMs;
    }
}

describe("FeedFollower", () => {
    let clock: FakeClock;
    let feed: FakeFeed;
    let follower: FeedFollower<string>;
    let storeEra: StoreEra;

    beforeEach(async () => {
        clock = new FakeClock();
        feed = new FakeFeed(clock);
        const events = new EventLog({ node: "n", clock });
        const storeClock = new StoreClock({ clock });
        storeEra = new StoreEra();
        storeEra.observe(1);
        follower = new FeedFollower({ name: "f", feed, clock, storeClock, storeEra, events, waitMs: 1_000 });
        await follower.start();
        await clock.advance(1);
    });

    afterEach(() => follower.stop());

    it("lists once and applies changes and removals", async () => {
        feed.sendChanges([["b", "2"], ["a", undefined]]);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([["b", "2"]]);
        expect(feed.listCount).toBe(1);
    });

    // Guards against a call of the store for each of many records that are written one after the other.
    it("takes changes in batches where it is told to", async () => {
        const events = new EventLog({ node: "n", clock });
        const batched = new FakeFeed(clock);
        const options = { name: "f", feed: batched, clock, storeClock: new StoreClock({ clock }), events };
        const own = new FeedFollower({ ...options, waitMs: 20_000, batchMs: 200 });
        await own.start();
        await clock.advance(201);
        expect(batched.waitCount).toBe(1);
        batched.sendChanges([["b", "2"]]);
        await clock.advance(1);
        expect(own.records.value?.get("b")).toBe("2");
        await clock.advance(150);
        expect(batched.waitCount).toBe(1);
        await clock.advance(50);
        expect(batched.waitCount).toBe(2);
        await own.stop();
    });

    it("lists again after a gap in the history", async () => {
        feed.content = new Map([["c", "3"]]);
        feed.pendingWait!.resolve(undefined);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([["c", "3"]]);
    });

    it("lists the records immediately when a call for changes gets no answer", async () => {
        await clock.advance(2_000);
        expect(follower.readAgeMs()).toBeGreaterThanOrEqual(2_000);
        feed.pendingWait!.reject(new Error("timeout"));
        await clock.advance(1);
        expect(feed.listCount).toBe(2);
        expect(follower.readAgeMs()).toBeLessThan(100);
    });

    it("confirms its records by a reading that begins after it was asked to", async () => {
        const waiting = feed.pendingWait;
        const confirmed = follower.confirm();
        await clock.advance(1);
        expect(feed.pendingWait).not.toBe(waiting);
        feed.sendChanges([["b", "2"]]);
        await clock.advance(1);
        expect(await confirmed).toBe(true);
        expect([...follower.records.value!]).toEqual([["a", "1"], ["b", "2"]]);
    });

    it("confirms nothing where the call for it fails, or the history no longer contains its position", async () => {
        const failed = follower.confirm();
        await clock.advance(1);
        feed.pendingWait!.reject(new Error("down"));
        expect(await failed).toBe(false);
        await clock.advance(1_000);
        const outdated = follower.confirm();
        await clock.advance(1);
        feed.pendingWait!.resolve(undefined);
        expect(await outdated).toBe(false);
    });

    describe("after a suspension, in which the steady clock stood still", () => {
        const suspendedMs = 4_000;
        let before: NonNullable<FakeFeed["pendingWait"]>;
        let beforeMs: number;

        beforeEach(() => {
            before = feed.pendingWait!;
            beforeMs = feed.readStoreMs();
            clock.stepWall(suspendedMs);
            feed.storeAheadMs += suspendedMs;
        });

        // Guards against old records taken for fresh ones: the answer waited in the connection while the machine stood still.
        it("takes no answer to an earlier call for a fresh one", async () => {
            before.resolve({ changes: new Map(), position: 9, storeMs: beforeMs });
            await clock.advance(1);
            expect(follower.readAgeMs()).toBe(Infinity);
            feed.sendChanges([]);
            await clock.advance(1);
            expect(follower.readAgeMs()).toBeLessThanOrEqual(2);
            expect(follower.readSinceResumedMs()).toBeLessThanOrEqual(2);
        });

        it("reads the store at once, even if an earlier call is never answered", async () => {
            expect(follower.readAgeMs()).toBe(Infinity);
            await clock.advance(1);
            expect(feed.pendingWait).not.toBe(before);
            feed.sendChanges([]);
            await clock.advance(1);
            expect(follower.readAgeMs()).toBeLessThanOrEqual(2);
        });

        it("reads the store at once where other nodes read it otherwise", async () => {
            feed.sendChanges([]);
            await clock.advance(1);
            follower.setSharing({ readRank: () => 5, publish: () => {} });
            feed.sendChanges([]);
            await clock.advance(1);
            const { waitCount } = feed;
            clock.stepWall(suspendedMs);
            expect(follower.readAgeMs()).toBe(Infinity);
            await clock.advance(1);
            expect(feed.waitCount).toBe(waitCount + 1);
        });
    });

    // Guards against old records taken for fresh ones: the process stood still while it waited for its first answer.
    it("knows no age from an answer that took longer than a call may", async () => {
        const late = new FeedFollower({
            name: "late",
            feed,
            clock,
            storeClock: new StoreClock({ clock }),
            events: new EventLog({ node: "n", clock }),
            waitMs: 1_000,
        });
        jest.spyOn(feed, "list").mockImplementationOnce(async () => {
            const storeMs = feed.readStoreMs();
            await clock.sleep(4_000);
            return { records: new Map(), position: 1, storeMs };
        });
        await late.start();
        await clock.advance(4_001);
        expect(late.readAgeMs()).toBe(Infinity);
        feed.sendChanges([]);
        await clock.advance(1);
        expect(late.readAgeMs()).toBeLessThanOrEqual(2);
        await late.stop();
    });

    it("does not treat a reset connection as an outage", async () => {
        feed.pendingWait!.reject(new Error("reset"));
        await clock.advance(1);
        expect(feed.listCount).toBe(2);
        expect(follower.readSinceRecoveryMs()).toBe(Infinity);
    });

    it("keeps its records during an outage of the store, and reports their age and the recovery", async () => {
        feed.isDown = true;
        feed.pendingWait!.reject(new Error("reset"));
        await clock.advance(3_000);
        expect([...follower.records.value!]).toEqual([["a", "1"]]);
        expect(follower.readAgeMs()).toBeGreaterThanOrEqual(3_000);
        expect(follower.readSinceRecoveryMs()).toBe(Infinity);
        feed.isDown = false;
        await clock.advance(1_000);
        expect(follower.readAgeMs()).toBeLessThanOrEqual(1_000);
        expect(follower.readSinceRecoveryMs()).toBeLessThanOrEqual(1_000);
    });

    it("drops an answer that arrives after a restore of the store, and lists again", async () => {
        feed.content = new Map([["a", "0"]]);
        storeEra.observe(2);
        feed.sendChanges([["x", "of another position"]]);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([["a", "0"]]);
        expect(follower.readSinceRecoveryMs()).toBeLessThan(100);
    });

    it("reads again until its records are young enough", async () => {
        await clock.advance(3_000);
        let isDone = false;
        void follower.refresh(2_000).then(() => {
            isDone = true;
        });
        await clock.advance(1);
        expect(isDone).toBe(false);
        feed.sendChanges([["b", "2"]]);
        await clock.advance(1);
        expect([isDone, follower.isStoreAway]).toEqual([true, false]);
        expect(follower.readAgeMs()).toBeLessThan(2_000);
    });

    it("reads no further once the store has not answered twice", async () => {
        await clock.advance(3_000);
        const refreshed = follower.refresh(2_000);
        await clock.advance(1);
        feed.isDown = true;
        feed.pendingWait!.reject(new Error("timeout"));
        expect(follower.isStoreAway).toBe(false);
        await clock.advance(200);
        feed.pendingWait!.reject(new Error("timeout"));
        await refreshed;
        expect(follower.isStoreAway).toBe(true);
    });

    it("hides records that a restored store lists again after their removal, until they are written again", async () => {
        feed.sendChanges([["a", undefined], ["b", "2"]]);
        await clock.advance(1);
        feed.content = new Map([["a", "1"]]);
        storeEra.observe(2);
        feed.pendingWait!.resolve(undefined);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([]);
        feed.pendingWait!.resolve(undefined); // lists again in the same era
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([]);
        feed.sendChanges([["a", "1"]]);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([["a", "1"]]);
    });

    it("lists a hidden record after 10 s, when nobody has removed it", async () => {
        feed.sendChanges([["a", undefined]]);
        await clock.advance(1);
        storeEra.observe(2);
        feed.pendingWait!.resolve(undefined);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([]);
        await clock.advance(10_000);
        feed.sendChanges([]);
        await clock.advance(1);
        expect([...follower.records.value!]).toEqual([["a", "1"]]);
    });
});
