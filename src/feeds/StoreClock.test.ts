import type { PeerReports } from "../peers/PeerReports";
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

    pass(durationMs: number): void {
        this.wallMs += durationMs;
        this.monotonicMs += durationMs;
    }
}

describe("StoreClock", () => {
    it("goes on from the store's last answer, the fastest of them counting", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.update(7_000);
        clock.pass(100);
        storeClock.update(7_060); // 40 ms on the way
        expect(storeClock.readStoreMs()).toBe(7_100);
    });

    it("knows nothing after a suspension, which the steady clock does not count, until the store answers", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        storeClock.update(7_000);
        clock.wallMs += 3_000;
        expect(storeClock.readStoreMs()).toBeUndefined();
        storeClock.update(10_000);
        expect(storeClock.readStoreMs()).toBe(10_000);
    });

    it("takes a jump of the time of day for a suspension, in either direction", () => {
        const clock = new SplitClock();
        const storeClock = new StoreClock({ clock });
        storeClock.update(7_000);
        clock.wallMs -= 2_000;
        expect(storeClock.readStoreMs()).toBeUndefined();
    });
});

describe("TrueTime", () => {
    const createTime = (clock: SplitClock, offsets: readonly number[]): ClusterClock => {
        const storeClock = new StoreClock({ clock });
        storeClock.update(500);
        const reports = { listFresh: () => offsets.map(value => ({ value })) } as unknown as PeerReports;
        return new ClusterClock({ clock, storeClock, reports });
    };

    it("follows the median of the nodes' clocks when this one is wrong", () => {
        const clock = new SplitClock();
        clock.wallMs = 1_002_400;
        expect(createTime(clock, [999_500, 999_501, 999_499]).readMs()).toBeCloseTo(1_000_000, -1);
    });

    it("is not moved by one wrong node", () => {
        const clock = new SplitClock();
        expect(createTime(clock, [999_500, 5]).readMs()).toBe(1_000_000);
    });
});
