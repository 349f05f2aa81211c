import { FleetManagerModel, type FleetManagerNode } from "../../standins/FleetManagerModel";
import { listFencingBreaches } from "../../standins/platform/listFencingBreaches";

const leaseMs = 6_000;
const seeds = Array.from({ length: 10 }, (_, index) => index + 1);

describe("orders of the fleet's holder", () => {
    /** Lets two nodes run through some trouble of the first holder, with each seed, and judges what arrives. */
    const listBreaches = async (
        trouble: (model: FleetManagerModel, former: FleetManagerNode, seed: number) => Promise<void>,
    ): Promise<string[]> => {
        const breaches: string[] = [];
        for (const seed of seeds) {
            const model = new FleetManagerModel(seed);
            await model.start();
            await model.world.advance(12_000 + seed * 190);
            const former = model.findLastHolder();
            await trouble(model, former, seed);
            await model.stop();
            expect(new Set(model.arrivals.map(({ holder }) => holder)).size).toBe(2);
            expect(new Set(model.arrivals.map(({ path }) => path)).size).toBe(3);
            const found = listFencingBreaches(model.arrivals, { leaseMs });
            breaches.push(...found.slice(0, 1).map(text => `seed ${seed}: ${text}`));
        }
        return breaches;
    };

    it("do not arrive after those of the next holder when no clock showed its suspension", async () => {
        const breaches = await listBreaches(async ({ world }, { clock }) => {
            clock.pauseWithClock();
            await world.advance(14_000);
            clock.step(-14_000);
            clock.resume();
            await world.advance(6_000);
        });
        expect(breaches).toEqual([]);
    });

    it("do not arrive after those of the next holder when they were held up during a suspension", async () => {
        const breaches = await listBreaches(async ({ world }, former, seed) => {
            former.isPathHeld = true;
            await world.advance(700 + seed * 50);
            former.clock.pauseWithClock();
            await world.advance(14_000);
            former.clock.resume();
            await world.advance(300);
            former.isPathHeld = false;
            await world.advance(6_000);
        });
        expect(breaches).toEqual([]);
    });

    // Guards against VMs that are drained by a former holder and then released by the next one, which did not want to.
    it("mark no VM as draining after the next holder has acted when no clock showed a suspension", async () => {
        const breaches: string[] = [];
        for (const seed of seeds) {
            const model = new FleetManagerModel(seed, true);
            await model.start();
            await model.world.advance(12_000 + seed * 190);
            const { clock } = model.findLastHolder();
            clock.pauseWithClock();
            await model.world.advance(14_000);
            clock.step(-14_000);
            clock.resume();
            await model.world.advance(6_000);
            await model.stop();
            expect(new Set(model.drains.map(({ holder }) => holder)).size).toBe(2);
            const found = listFencingBreaches(model.drains, { leaseMs });
            breaches.push(...found.slice(0, 1).map(text => `seed ${seed}: ${text}`));
        }
        expect(breaches).toEqual([]);
    });

    it("are not repeated after the lease was lost when their answers were lost", async () => {
        const breaches = await listBreaches(async ({ world }, former, seed) => {
            former.losesAnswers = true;
            await world.advance(100_000 + seed * 1_900);
            former.isStoreCut = true;
            await world.advance(20_000);
        });
        expect(breaches).toEqual([]);
    });

    it("are not repeated under a later holding", async () => {
        const breaches = await listBreaches(async ({ world, nodes }, former) => {
            former.losesAnswers = true;
            await world.advance(3_000);
            former.isStoreCut = true;
            await world.advance(12_000);
            former.losesAnswers = false;
            former.isStoreCut = false;
            nodes.find(node => node !== former)!.isStoreCut = true;
            await world.advance(20_000);
        });
        expect(breaches).toEqual([]);
    });
});
