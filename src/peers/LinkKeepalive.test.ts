import { FakeClock } from "../kernel/FakeClock";
import { runTask } from "../kernel/runTask";
import { LinkKeepalive } from "./LinkKeepalive";
import type { PeerLink } from "./PeerLink";

const heartbeatMs = 250;
const linkTimeoutMs = 800;

class Setup {
    readonly clock = new FakeClock();
    readonly heartbeats: number[] = [];
    readonly silent: string[] = [];
    readonly idle: string[] = [];
    readonly link = {
        nodeId: "n",
        lastReceivedMs: this.clock.readMonotonicMs(),
        lastSentMs: -Infinity,
        lastCallMs: this.clock.readMonotonicMs(),
        isOnDemand: false,
    };
    private readonly keepalive = new LinkKeepalive({
        clock: this.clock,
        heartbeatMs,
        linkTimeoutMs,
        idleLinkTimeoutMs: 2_000,
        listLinks: () => [this.link as unknown as PeerLink],
        sendHeartbeat: () => this.heartbeats.push(this.clock.readMonotonicMs()),
        onSilent: link => this.silent.push(link.nodeId),
        onIdle: link => this.idle.push(link.nodeId),
    });

    constructor() {
        runTask(signal => this.keepalive.run(signal), { name: "keepalive" });
    }

    /** Lets time pass, with a frame in each direction at the given intervals. */
    async advance(durationMs: number, receivedEveryMs: number, sentEveryMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
            const nowMs = this.clock.readMonotonicMs();
            this.link.lastReceivedMs = elapsedMs % receivedEveryMs === 0 ? nowMs : this.link.lastReceivedMs;
            this.link.lastSentMs = elapsedMs % sentEveryMs === 0 ? nowMs : this.link.lastSentMs;
            await this.clock.advance(50);
        }
    }
}

describe("LinkKeepalive", () => {
    it("sends a heartbeat each interval, but one a second where other frames go", async () => {
        const setup = new Setup();
        await setup.advance(4_000, 100, Infinity);
        const without = setup.heartbeats.length;
        await setup.advance(4_000, 100, 100);
        expect(without).toBeGreaterThanOrEqual(15);
        expect(setup.heartbeats.length - without).toBeLessThanOrEqual(5);
    });

    it("finds a link on which nothing arrives for the time limit, and not before", async () => {
        const setup = new Setup();
        await setup.advance(750, Infinity, 100);
        expect(setup.silent).toEqual([]);
        await setup.clock.advance(600);
        expect(setup.silent).not.toEqual([]);
    });

    it("does not take its own delay for the silence of a link", async () => {
        const setup = new Setup();
        const sleep = setup.clock.sleep.bind(setup.clock);
        setup.clock.sleep = (delayMs, signal) => sleep(delayMs + 1_000, signal);
        await setup.advance(250, 100, 100); // the first sleep began before
        await setup.clock.advance(1_300);
        expect(setup.silent).toEqual([]);
    });

    it("finds a link that was opened for a call and is no longer used", async () => {
        const setup = new Setup();
        setup.link.isOnDemand = true;
        await setup.advance(2_500, 100, 100);
        expect(setup.idle).not.toEqual([]);
    });
});
