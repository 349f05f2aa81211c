import type { ServerResponse } from "node:http";
import { FakeClock } from "../kernel/FakeClock";
import { runTask } from "../kernel/runTask";
import type { UpstreamExchange } from "../upstreams/UpstreamExchange";
import { EventStreamSplitter } from "./EventStreamSplitter";
import { relayEvents, type RelayOutcome } from "./relayEvents";
import type { RequestInterrupt } from "./RequestInterrupt";

const idleTimeoutMs = 1_500;
const event = "id: 1\ndata: x\n\n";

/** A relayed stream whose bytes the test sends. */
class Setup {
    readonly clock = new FakeClock();
    readonly written: string[] = [];
    outcome: RelayOutcome | undefined;
    isResumableElsewhere = true;
    isCallerFull = false;
    /** Passes bytes on as the upstream's. */
    send: (chunk: Buffer) => void = () => {};
    /** Lets the caller read on. */
    drain: () => void = () => {};

    constructor() {
        const exchange = {
            listen: (listener: (chunk: Buffer) => void) => {
                this.send = listener;
            },
            pause: () => {},
            resume: () => {},
            ended: new Promise(() => {}),
        } as unknown as UpstreamExchange;
        const response = {
            on: (_name: string, listener: () => void) => {
                this.drain = listener;
            },
            off: () => {},
            write: (bytes: Buffer) => this.written.push(bytes.toString()) > 0 && !this.isCallerFull,
        } as unknown as ServerResponse;
        const relay = relayEvents({
            exchange,
            splitter: new EventStreamSplitter(),
            response,
            interrupt: { interrupted: new Promise(() => {}) } as unknown as RequestInterrupt,
            clock: this.clock,
            idleTimeoutMs,
            isResumableElsewhere: () => this.isResumableElsewhere,
            onData: () => {},
            onFirstEvent: () => {},
        });
        void runTask(() => relay, { name: "relay" }).done.then(outcome => {
            this.outcome = outcome as RelayOutcome;
        });
    }

    /** Sends a text again and again, with a pause after each. */
    async sendRepeatedly(
        createText: (index: number) => string,
        times: number,
        pauseMs: number,
    ): Promise<void> {
        for (let index = 0; index < times; index += 1) {
            this.send(Buffer.from(createText(index)));
            await this.clock.advance(pauseMs);
        }
    }
}

describe("relayEvents", () => {
    it("does not end a slow stream whose events go on", async () => {
        const setup = new Setup();
        await setup.sendRepeatedly(index => `id: ${index + 1}\ndata: x\n\n`, 10, idleTimeoutMs - 100);
        expect(setup.outcome).toBeUndefined();
        expect(setup.written).toHaveLength(10);
    });

    // Guards against streams that are cut at a silent upstream although they cannot go on at another one.
    it("does not end a silent stream before it may go on elsewhere", async () => {
        const setup = new Setup();
        setup.isResumableElsewhere = false;
        await setup.clock.advance(10 * idleTimeoutMs);
        expect(setup.outcome).toBeUndefined();
        await setup.sendRepeatedly(index => `id: ${index + 1}\ndata: x\n\n`, 1, idleTimeoutMs - 100);
        setup.isResumableElsewhere = true;
        await setup.clock.advance(99);
        expect(setup.outcome).toBeUndefined();
        await setup.clock.advance(1);
        expect(setup.outcome).toMatchObject({ kind: "broken" });
    });

    // Guards against streams that are cut after their caller, not their upstream, has paused.
    it("does not count the time in which the caller's connection was full", async () => {
        const setup = new Setup();
        setup.isCallerFull = true;
        await setup.sendRepeatedly(() => event, 1, idleTimeoutMs - 1);
        setup.drain();
        await setup.clock.advance(idleTimeoutMs - 1);
        expect(setup.outcome).toBeUndefined();
        await setup.clock.advance(1);
        expect(setup.outcome).toMatchObject({ kind: "broken" });
    });

    // Guards against streams that are cut since the node, not their upstream, was held up.
    it("reads what has arrived before it takes an upstream for silent", async () => {
        const setup = new Setup();
        void setup.clock.sleep(idleTimeoutMs).then(() => setImmediate(() => setup.send(Buffer.from(event))));
        await setup.clock.advance(2 * idleTimeoutMs - 1);
        expect(setup.outcome).toBeUndefined();
        expect(setup.written).toEqual([event]);
    });

    it("ends a stalled stream that sends a byte now and then", async () => {
        const setup = new Setup();
        await setup.sendRepeatedly(() => "x", 4, idleTimeoutMs / 2);
        expect(setup.outcome).toMatchObject({ kind: "broken" });
        expect(setup.written).toEqual([]);
    });
});
