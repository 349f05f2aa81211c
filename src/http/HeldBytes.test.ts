import fc from "fast-check";
import { FakeClock } from "../kernel/FakeClock";
import { HeldBytes, type Hold, type HoldRequest } from "./HeldBytes";

const maxBytes = 8_000_000;
const largeBytes = 1_000_000;
const smallBytes = 1_000;

describe("HeldBytes", () => {
    let clock: FakeClock;
    let held: HeldBytes;

    beforeEach(() => {
        clock = new FakeClock();
        held = new HeldBytes({ maxBytes, clock });
    });

    const hold = (owner: string, bytes: number, onGivenUp = (): void => {}): Promise<Hold | undefined> =>
        held.hold({ owner, bytes, onGivenUp });

    // Guards against crowds of one account that leave no room to the others.
    it("leaves as much room to others as one owner holds, and a part to small requests", async () => {
        const own = await Promise.all(Array.from({ length: 3 }, () => hold("crowd", largeBytes)));
        expect(own.every(Boolean)).toBe(true);
        const refused = hold("crowd", largeBytes);
        const others = ["a", "b", "c"].map(owner => hold(owner, largeBytes));
        expect((await Promise.all(others)).every(Boolean)).toBe(true);
        expect(await hold("crowd", smallBytes)).toBeDefined();
        await clock.advance(2_000);
        expect(held.used).toBeLessThanOrEqual(maxBytes);
        own.forEach(taken => taken!.release());
        await refused;
    });

    // Guards against a single proper request that is refused since it is large.
    it("serves a single request of any size, also with very many fields", async () => {
        const single = await hold("a", maxBytes * 2);
        expect(single!.take(maxBytes)).toBe(true);
        expect(await Promise.race([hold("b", smallBytes), Promise.resolve("waits")])).toBe("waits");
        single!.release();
        expect(held.used).toBe(smallBytes);
    });

    // Guards against clients that stop short of their end and keep the room for as long as they stay.
    it("gives up requests that stand still for those that wait, but none that is complete or moves", async () => {
        const givenUp: string[] = [];
        const names = ["still", "moving", "complete"];
        const holds = await Promise.all(names.map(name => hold(name, 2_300_000, () => givenUp.push(name))));
        holds[2]!.markComplete();
        await clock.advance(900);
        holds[1]!.markProgress();
        const waiting = hold("ordinary", 2_300_000);
        await clock.advance(300);
        expect(givenUp).toEqual(["still"]);
        expect(await waiting).toBeDefined();
    });

    it("refuses those that wait too long or are too many", async () => {
        const first = await hold("a", maxBytes);
        first!.markComplete();
        const waiting = Array.from({ length: 100 }, (_, index) => hold(`o${index}`, largeBytes));
        await clock.advance(1_500);
        expect((await Promise.all(waiting)).every(taken => taken === undefined)).toBe(true);
        expect(held.counts.refused).toBe(100);
        expect(held.waitingCount).toBe(0);
    });

    // Guards against bytes that are counted twice or never given back.
    it("counts what is held, in whatever order requests take more and end", async () => {
        const action = fc.record({
            owner: fc.nat(3),
            bytes: fc.nat(3_000_000),
            index: fc.nat(9),
            kind: fc.nat(2),
        });
        await fc.assert(fc.asyncProperty(fc.array(action), async actions => {
            const all = new HeldBytes({ maxBytes, clock: new FakeClock() });
            const holds: Hold[] = [];
            for (const { owner, bytes, index, kind } of actions) {
                const request: HoldRequest = { owner: `o${owner}`, bytes, onGivenUp: () => {} };
                const taken = kind === 0
                    ? await Promise.race([all.hold(request), Promise.resolve(undefined)])
                    : undefined;
                holds.push(...(taken ? [taken] : []));
                holds.at(index % Math.max(1, holds.length))?.[kind === 1 ? "take" : "markProgress"](bytes);
                if (kind === 2) {
                    holds.splice(index, 1)[0]?.release();
                }
                expect(holds.length > 1 ? all.used : 0).toBeLessThanOrEqual(2 * maxBytes);
            }
            holds.forEach(taken => taken.release());
            expect(all.used).toBeGreaterThanOrEqual(0);
        }));
    });
});
