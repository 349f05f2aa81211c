import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { TaskScope } from "../kernel/TaskScope";
import { LinkProber } from "./LinkProber";
import { planLinks } from "./planLinks";

const handshakeTimeoutMs = 800;

/** A prober whose attempts are counted; each takes a while, and fails unless the node exists. */
class Setup {
    readonly clock = new FakeClock();
    readonly scope = new TaskScope();
    readonly existing = new Set<string>();
    readonly linked = new Set<string>();
    readonly members = new Set<string>();
    readonly attempts: string[] = [];
    pending = 0;
    mostPending = 0;
    readonly prober: LinkProber;

    constructor(seed = 1) {
        this.prober = new LinkProber({
            scope: this.scope,
            clock: this.clock,
            random: new SeededRandom(seed),
            isIsolated: () => this.linked.size === 0,
            countMembers: () => this.members.size,
            isMember: nodeId => this.members.has(nodeId),
            planTargets: added =>
                planLinks({ self: { nodeId: "self", dataCentre: "a" }, others: added }).dialTargets,
            tryLink: nodeId => this.tryLink(nodeId),
        });
        this.scope.run("probes", signal => this.prober.run(signal));
    }

    setAbsent(count: number): void {
        const nodeIds = Array.from({ length: count }, (_, index) => `absent-${index}`);
        this.setRecorded([...nodeIds, ...this.existing]);
    }

    setRecorded(nodeIds: readonly string[], renewed: readonly string[] = []): void {
        this.prober.setRecorded(
            new Map(nodeIds.map(nodeId => [nodeId, { nodeId, dataCentre: "a" }])),
            renewed,
        );
    }

    private async tryLink(nodeId: string): Promise<boolean> {
        this.attempts.push(nodeId);
        if (this.existing.has(nodeId)) {
            this.linked.add(nodeId);
            this.members.add(nodeId);
            return true;
        }
        this.pending += 1;
        this.mostPending = Math.max(this.mostPending, this.pending);
        await this.clock.sleep(handshakeTimeoutMs);
        this.pending -= 1;
        return false;
    }
}

describe("LinkProber", () => {
    let setup: Setup;
    const start = (seed?: number): Setup => {
        setup = new Setup(seed);
        return setup;
    };
    afterEach(() => setup.scope.cancel());

    it("reaches the one node that exists within 8 s among 40 that accept connections and say nothing", async () => {
        for (let seed = 1; seed <= 20; seed += 1) {
            const { clock, existing, linked, scope } = start(seed);
            existing.add("real");
            setup.setAbsent(40);
            await clock.advance(8_000);
            expect([...linked]).toEqual(["real"]);
            await scope.cancel();
        }
    });

    // Guards against nodes that start together and stay apart, each behind the records of nodes that do not exist.
    it("reaches a node within a second of its start, however many others accept connections and say nothing", async () => {
        for (let seed = 1; seed <= 20; seed += 1) {
            const { clock, existing, linked, scope } = start(seed);
            const recorded = [...Array.from({ length: 300 }, (_, index) => `absent-${index}`), "real"];
            setup.setRecorded(recorded);
            await clock.advance(5_000);
            existing.add("real");
            setup.setRecorded(recorded, ["real"]);
            await clock.advance(1_000);
            expect([...linked]).toEqual(["real"]);
            await scope.cancel();
        }
    });

    it("dials first what it would keep links to if all recorded nodes existed", async () => {
        const { clock, attempts } = start();
        const others = Array.from({ length: 8 }, (_, index) => ({ nodeId: `n${index}`, dataCentre: "a" }));
        const { dialTargets } = planLinks({ self: { nodeId: "self", dataCentre: "a" }, others });
        setup.setRecorded(others.map(({ nodeId }) => nodeId));
        await clock.advance(200);
        expect(attempts.slice(0, dialTargets.length)).toEqual(dialTargets);
    });

    it("makes equally many attempts a second for 50 absent nodes and for 5,000, whose records are renewed", async () => {
        for (const count of [50, 5_000]) {
            const { clock, attempts, linked, scope } = start();
            linked.add("other");
            for (let second = 0; second < 20; second += 1) {
                setup.setAbsent(count);
                await clock.advance(1_000);
            }
            expect(attempts.length).toBeGreaterThanOrEqual(38);
            expect(attempts.length).toBeLessThanOrEqual(41);
            linked.clear();
            attempts.length = 0;
            await clock.advance(10_000);
            expect(attempts.length).toBeLessThanOrEqual(70);
            expect(setup.mostPending).toBeLessThanOrEqual(8);
            await scope.cancel();
        }
    });

    it("makes fewer attempts the more members there are, and at once more when it loses its last link", async () => {
        const { clock, attempts, linked, members } = start();
        linked.add("other");
        Array.from({ length: 194 }, (_, index) => members.add(`m${index}`));
        setup.setAbsent(100);
        await clock.advance(60_000);
        expect(attempts.length).toBeGreaterThanOrEqual(4);
        expect(attempts.length).toBeLessThanOrEqual(6);
        linked.clear();
        await clock.advance(2_000);
        expect(attempts.length).toBeGreaterThanOrEqual(12);
    });

    it("tries a gone node every 2 s, however many recorded nodes do not exist", async () => {
        const { clock, attempts, linked } = start();
        linked.add("other");
        setup.setAbsent(1_000);
        setup.prober.setGone(["gone"]);
        await clock.advance(30_000);
        expect(attempts.filter(nodeId => nodeId === "gone").length).toBeGreaterThanOrEqual(10);
    });

    it("dials no members, and those no longer that are reached", async () => {
        const { clock, attempts, existing, members } = start();
        ["a", "b", "c"].forEach(nodeId => existing.add(nodeId));
        members.add("c");
        setup.setRecorded(["a", "b", "c"]);
        await clock.advance(30_000);
        expect([...attempts].sort()).toEqual(["a", "b"]);
        setup.prober.setGone(["c"]);
        members.delete("c");
        await clock.advance(2_000);
        expect(attempts).toContain("c");
    });
});
