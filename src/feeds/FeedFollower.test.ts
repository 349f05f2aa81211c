import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { FeedFollower } from "./FeedFollower";
import { StoreClock } from "./StoreClock";
import { StoreEra } from "./StoreEra";
import type { FeedChanges, FeedSnapshot, RecordFeed } from "./types";

type Change = FeedChanges<string> | undefined;

/** Feed whose answers the test controls; the store's clock is 5,000 ms ahead of the monotonic clock. */
class FakeFeed implements RecordFeed<string> {
    listCount = 0;
    content = new Map([["a", "1"]]);
    isDown = false;
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
        return new Promise((resolve, reject) => {
            this.pendingWait = { resolve, reject };
        });
    }

    sendChanges(changes: [string, string | undefined][]): void {
        this.pendingWait!.resolve({ changes: new Map(changes), position: 9, storeMs: this.readStoreMs() });
    }

    private readStoreMs(): number {
        return this.clock.readMonotonicMs() + 5_000;
    }
}

/** Clock whose wall-clock time can be stepped. */
class SteppedClock extends FakeClock {
    wallOffsetMs = 0;

    override readWallMs(): number {
        return super.readWallMs() + this.wallOffsetMs;
    }
}

describe("FeedFollower", () => {
    let clock: SteppedClock;
    let feed: FakeFeed;
    let follower: FeedFollower<string>;
    let storeEra: StoreEra;

    beforeEach(async () => {
        clock = new SteppedClock();
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

    it("asks the store again at once when its clock is lost by a suspension or a step, while a call waits", async () => {
        const waiting = feed.pendingWait!;
        clock.wallOffsetMs = 5_000;
        expect(follower.readAgeMs()).toBe(Infinity);
        await clock.advance(1);
        expect(feed.pendingWait).not.toBe(waiting);
        feed.sendChanges([]);
        await clock.advance(1);
        expect(follower.readAgeMs()).toBeLessThan(100);
        waiting.resolve({
            changes: new Map([["b", "2"]]),
            position: 10,
            storeMs: clock.readMonotonicMs() + 5_000,
        });
        await clock.advance(1);
        expect([...follower.records.value!.keys()]).toEqual(["a", "b"]);
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
