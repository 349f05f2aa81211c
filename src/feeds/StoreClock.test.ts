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
        storeClock.update(7_000, clock.monotonicMs);
        clock.advance(100);
        storeClock.update(7_060, clock.monotonicMs); // 40 ms of network delay
        expect(storeClock.readStoreMs()).toBe(7_100);
    });

    it("is unknown after a suspension, in which the monotonic clock stops, until the store answers", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        storeClock.update(7_000, clock.monotonicMs);
        clock.wallMs += 3_000;
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.update(10_000, clock.monotonicMs);
        expect(storeClock.readStoreMs()).toBe(10_000);
    });

    // Guards against keys that count as confirmed lately because the store's last answer was read after a suspension.
    it("does not learn from an answer to a call that began before a suspension", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        const sentAtMs = clock.monotonicMs;
        clock.advance(100);
        clock.wallMs += 5_000;
        storeClock.update(7_000, sentAtMs);
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.update(12_000, clock.monotonicMs);
        expect(storeClock.readStoreMs()).toBe(12_000);
    });

    it("treats a jump of the wall clock in either direction as a suspension", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        storeClock.update(7_000, clock.monotonicMs);
        clock.wallMs -= 2_000;
        expect(storeClock.readStoreMs()).toBeUndefined();
    });
});

describe("ClusterClock", () => {
    const createClusterClock = (clock: SplitClock, offsets: readonly number[]): ClusterClock => {
        const storeClock = new StoreClock({ clock });
        storeClock.update(500, clock.monotonicMs);
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

    it("is not affected by one node with a wrong clock", () => {
        const clock = new SplitClock();
        expect(createClusterClock(clock, [999_500, 5]).readMs()).toBe(1_000_000);
    });

    // Guards against windows of usage that are closed early at a node whose wall clock is stepped.
    it("keeps its pace when the local wall clock is stepped, until the store answers", () => {
        const clock = new SplitClock();
        const clusterClock = createClusterClock(clock, [999_500, 999_501, 999_499]);
        expect(clusterClock.readMs()).toBeCloseTo(1_000_000, -1);
        clock.wallMs += 2_400;
        clock.advance(700);
        expect(clusterClock.readMs()).toBeCloseTo(1_000_700, -1);
    });
});
