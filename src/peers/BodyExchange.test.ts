import { createHash } from "node:crypto";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { BodyExchange } from "./BodyExchange";
import { PeerError } from "./PeerError";
import type { PeerHandler } from "./PeerMessageRouter";

const largeValue = {
    names: Array.from({ length: 20_000 }, (_, index) => `${index * 7_919 % 100_003}-${index}`),
};

/** Members that can call each other, unless one is lost. */
class Cluster {
    readonly clock = new FakeClock();
    readonly lost = new Set<string>();
    /** Number of calls answered with bytes, by member. */
    readonly parts = new Map<string, number>();
    /** Largest answer. */
    maxPartBytes = 0;
    private readonly handlers = new Map<string, PeerHandler>();

    async addMember(nodeId: string): Promise<BodyExchange> {
        const exchange = new BodyExchange({
            network: {
                registerHandler: (_method, handler) => void this.handlers.set(nodeId, handler),
                call: (target, _method, payload) => this.call(target, payload),
            },
            clock: this.clock,
            events: new EventLog({ node: nodeId, clock: this.clock }),
        });
        await exchange.start();
        return exchange;
    }

    addMembers(...nodeIds: readonly string[]): Promise<BodyExchange[]> {
        return Promise.all(nodeIds.map(nodeId => this.addMember(nodeId)));
    }

    /** Adds a member that answers each question with the given bytes. */
    answer(nodeId: string, bytes: Buffer): void {
        this.handlers.set(nodeId, async () => bytes);
    }

    private async call(target: string, payload: unknown): Promise<unknown> {
        if (this.lost.has(target)) {
            throw new PeerError("lost", "unreachable");
        }
        const part = await this.handlers.get(target)!(payload, "caller") as Buffer | undefined;
        if (part) {
            this.parts.set(target, (this.parts.get(target) ?? 0) + 1);
            this.maxPartBytes = Math.max(this.maxPartBytes, part.length);
            if (this.parts.get(target) === 2 && target === "failing") {
                this.lost.add(target);
            }
        }
        return part;
    }
}

describe("BodyExchange", () => {
    it("passes a large value on in parts, and from the one who got it to others", async () => {
        const cluster = new Cluster();
        const [a, b, c] = await cluster.addMembers("a", "b", "c");
        const reference = a.offer(largeValue)!;
        await expect(b.pull(reference, ["a"])).resolves.toEqual(largeValue);
        cluster.lost.add("a");
        await expect(c.pull(reference, ["b"])).resolves.toEqual(largeValue);
        expect(c.find(reference)).toEqual(largeValue);
        expect(cluster.parts.get("a")).toBeGreaterThan(2);
        expect(cluster.maxPartBytes).toBeLessThanOrEqual(16_384);
    });

    it("offers no small values, and equal ones under one reference", async () => {
        const cluster = new Cluster();
        const [a, b] = await cluster.addMembers("a", "b");
        expect(a.offer({ name: "small" })).toBeUndefined();
        expect(a.offer(largeValue)).toEqual(b.offer(largeValue));
    });

    it("goes on at the next member where one is lost, with the parts that it has", async () => {
        const cluster = new Cluster();
        const [failing, sound] = await cluster.addMembers("failing", "sound");
        const own = await cluster.addMember("own");
        const reference = failing.offer(largeValue)!;
        sound.offer(largeValue);
        await expect(own.pull(reference, ["failing", "sound"])).resolves.toEqual(largeValue);
        expect(cluster.parts.get("failing")! + cluster.parts.get("sound")!)
            .toBe(Math.ceil(reference.bytes / cluster.maxPartBytes));
    });

    it("waits for a member that receives the value itself", async () => {
        const cluster = new Cluster();
        const [a, b, c] = await cluster.addMembers("a", "b", "c");
        const reference = a.offer(largeValue)!;
        const pulled = c.pull(reference, ["b"]);
        await cluster.clock.advance(300);
        await b.pull(reference, ["a"]);
        await expect(pulled).resolves.toEqual(largeValue);
    });

    it.each([
        ["is no encoding, under its right digest", "no encoding", "no encoding"],
        ["differs from its digest", "no encoding", "other bytes"],
    ])("takes nothing for a value that %s", async (_case, bytes, named) => {
        const cluster = new Cluster();
        const own = await cluster.addMember("own");
        cluster.answer("faulty", Buffer.from(bytes));
        const digest = createHash("sha256").update(named).digest("hex");
        await expect(own.pull({ digest, bytes: bytes.length }, ["faulty"])).resolves.toBeUndefined();
        expect(own.find({ digest, bytes: bytes.length })).toBeUndefined();
    });

    it("pulls nothing where no member has the value", async () => {
        const cluster = new Cluster();
        const [a, b, own] = await cluster.addMembers("a", "b", "own");
        const reference = a.offer(largeValue)!;
        cluster.lost.add("a");
        let result: unknown = "pending";
        void own.pull(reference, ["a", "b"]).then(value => {
            result = value;
        });
        for (let step = 0; step < 10; step += 1) {
            await cluster.clock.advance(400);
        }
        expect(result).toBeUndefined();
        expect(b.find(reference)).toBeUndefined();
    });
});
