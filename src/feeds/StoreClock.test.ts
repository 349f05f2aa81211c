import type { Clock } from "../kernel/types";
import { StoreClock } from "./StoreClock";
import { ClusterClock } from "./ClusterClock";

class SplitClock implements Clock {
    wallMs = 1_000_000;
    monotonicMs = 50;

    readWallMs(): number {
        return this.wallMs;
    }

    readMonotonicMs(): number {
        return this.monotonicMs;
    }

    async sleep(): Promise<void> {}

    advance(durationMs: number): void {
        this.wallMs += durationMs;
        this.monotonicMs += durationMs;
    }
}

describe("StoreClock", () => {
    it("extrapolates from the answer with the least network delay", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.beginCall(0)(7_000);
        clock.advance(100);
        storeClock.beginCall(0)(7_060); // 40 ms of network delay
        expect(storeClock.readStoreMs()).toBe(7_100);
    });

    // Guards against ages that are too low on a node that handles every answer late.
    it("bounds the store's clock by the time at which a call was sent, however late its answer is handled", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        expect(storeClock.readLatestStoreMs()).toBeUndefined();
        for (let call = 0; call < 3; call += 1) {
            const storeMs = 7_000 + clock.monotonicMs;
            const updateClock = storeClock.beginCall(0);
            clock.advance(600); // the answer comes at once, and waits
            updateClock(storeMs);
        }
        expect(storeClock.readStoreMs()).toBeLessThan(7_000 + clock.monotonicMs);
        expect(storeClock.readLatestStoreMs()).toBeGreaterThanOrEqual(7_000 + clock.monotonicMs);
        expect(storeClock.readLatestStoreMs()).toBeLessThan(7_000 + clock.monotonicMs + 1);
        clock.wallMs += 3_000;
        expect(storeClock.readLatestStoreMs()).toBeUndefined();
    });

    it("bounds it more closely by calls that are answered sooner, and widens the bound by what clocks may drift", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        const updateClock = storeClock.beginCall(1_000);
        clock.advance(1_000);
        updateClock(8_000); // 1,000 ms after it was sent, for all that is known
        expect(storeClock.readLatestStoreMs()).toBe(9_000);
        storeClock.beginCall(0)(8_000);
        expect(storeClock.readLatestStoreMs()).toBe(8_000);
        clock.advance(100_000);
        expect(storeClock.readLatestStoreMs()).toBe(108_020);
    });

    it("is unknown after a suspension, in which the monotonic clock stops, until the store answers", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        storeClock.beginCall(0)(7_000);
        clock.wallMs += 3_000;
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.beginCall(0)(10_000);
        expect(storeClock.readStoreMs()).toBe(10_000);
    });

    // Guards against keys that count as confirmed lately because the store's last answer was read after a suspension.
    it("does not learn from an answer to a call that began before a suspension", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        const updateClock = storeClock.beginCall(1_000);
        clock.advance(100);
        clock.wallMs += 5_000;
        updateClock(7_000);
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.beginCall(0)(12_000);
        expect(storeClock.readStoreMs()).toBe(12_000);
    });

    it("treats a jump of the wall clock in either direction as a suspension", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        storeClock.beginCall(0)(7_000);
        clock.wallMs -= 2_000;
        expect(storeClock.readStoreMs()).toBeUndefined();
    });
});

describe("ClusterClock", () => {
    const createClusterClock = (clock: SplitClock, offsets: readonly number[]): ClusterClock => {
        const storeClock = new StoreClock({ clock });
        storeClock.beginCall(0)(500);
        const sums = {
            registerContributor: () => {},
            readOthers: () => new Map(offsets.map(offset => [String(offset), 1])),
        };
        return new ClusterClock({ clock, storeClock, sums });
    };

    it("follows the median of the nodes' clocks if the local clock is wrong", () => {
        const clock = new SplitClock();
        clock.wallMs = 1_002_400;
        expect(createClusterClock(clock, [999_500, 999_501, 999_499]).readMs()).toBeCloseTo(1_000_000, -1);
    });

    // Guards against windows of usage that end early: the time of day is set while the store cannot be asked.
    it("goes on by the steady clock where the store's clock becomes unknown, and takes the time of day before", () => {
        const clock = new SplitClock();
        const sums = { registerContributor: () => {}, readOthers: () => new Map<string, number>() };
        const storeClock = new StoreClock({ clock });
        const clusterClock = new ClusterClock({ clock, storeClock, sums });
        expect(clusterClock.readMs()).toBe(1_000_000);
        storeClock.beginCall(0)(500);
        expect(clusterClock.readMs()).toBe(1_000_000);
        clock.advance(100);
        clock.wallMs += 7_000;
        expect(clusterClock.readMs()).toBe(1_000_100);
        clock.advance(50);
        expect(clusterClock.readMs()).toBe(1_000_150);
    });

    it("is not affected by one node with a wrong clock", () => {
        const clock = new SplitClock();
        expect(createClusterClock(clock, [999_500, 5]).readMs()).toBe(1_000_000);
    });
});
