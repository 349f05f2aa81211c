import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { FeedFollower } from "./FeedFollower";
import { StoreClock } from "./StoreClock";
import type { FeedChanges, FeedSnapshot, RecordFeed } from "./types";

type Change = FeedChanges<string> | undefined;

/** Feed whose answers a test gives by hand; the store's clock runs 5,000 ms ahead. */
class FakeFeed implements RecordFeed<string> {
    lists = 0;
    content = new Map([["a", "1"]]);
    isDown = false;
    waiting: { resolve: (change: Change) => void; reject: (error: Error) => void; } | undefined;

    constructor(private readonly clock: FakeClock) {}

    async list(): Promise<FeedSnapshot<string>> {
        this.lists += 1;
        if (this.isDown) {
            throw new Error("down");
        }
        return { records: new Map(this.content), position: this.lists, storeMs: this.readStoreMs() };
    }

    waitForChanges(): Promise<Change> {
        return new Promise((resolve, reject) => {
            this.waiting = { resolve, reject };
        });
    }

    tell(changes: [string, string | undefined][]): void {
        this.waiting!.resolve({ changes: new Map(changes), position: 9, storeMs: this.readStoreMs() });
    }

    private readStoreMs(): number {
        return this.clock.readMonotonicMs() + 5_000;
    }
}

describe("FollowedFeed", () => {
    let clock: FakeClock;
    let feed: FakeFeed;
    let followed: FeedFollower<string>;

    beforeEach(async () => {
        clock = new FakeClock();
        feed = new FakeFeed(clock);
        const events = new EventLog({ node: "n", clock });
        const storeClock = new StoreClock({ clock });
        followed = new FeedFollower({ name: "f", feed, clock, storeClock, events, waitMs: 1_000 });
        await followed.start();
        await clock.advance(1);
    });

    afterEach(() => followed.stop());

    it("lists once and applies changes and removals", async () => {
        feed.tell([["b", "2"], ["a", undefined]]);
        await clock.advance(1);
        expect([...followed.records.value!]).toEqual([["b", "2"]]);
        expect(feed.lists).toBe(1);
    });

    it("lists again when the history is gone", async () => {
        feed.content = new Map([["c", "3"]]);
        feed.waiting!.resolve(undefined);
        await clock.advance(1);
        expect([...followed.records.value!]).toEqual([["c", "3"]]);
    });

    it("reads at once when a wait for changes got no answer", async () => {
        await clock.advance(2_000);
        expect(followed.readAgeMs()).toBeGreaterThanOrEqual(2_000);
        feed.waiting!.reject(new Error("timeout"));
        await clock.advance(1);
        expect(feed.lists).toBe(2);
        expect(followed.readAgeMs()).toBeLessThan(100);
    });

    it("takes a reset connection for no outage", async () => {
        feed.waiting!.reject(new Error("reset"));
        await clock.advance(1);
        expect(feed.lists).toBe(2);
        expect(followed.readSinceRecoveryMs()).toBe(Infinity);
    });

    it("keeps what it knows while the store is away, grows older, and tells when it came back", async () => {
        feed.isDown = true;
        feed.waiting!.reject(new Error("reset"));
        await clock.advance(3_000);
        expect([...followed.records.value!]).toEqual([["a", "1"]]);
        expect(followed.readAgeMs()).toBeGreaterThanOrEqual(3_000);
        expect(followed.readSinceRecoveryMs()).toBe(Infinity);
        feed.isDown = false;
        await clock.advance(1_000);
        expect(followed.readAgeMs()).toBeLessThanOrEqual(1_000);
        expect(followed.readSinceRecoveryMs()).toBeLessThanOrEqual(1_000);
    });
});
