import { z } from "zod";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import type { PeerNetwork } from "./PeerNetwork";
import { PeerReports, type ReportTopic } from "./PeerReports";

const topic: ReportTopic<number> = { name: "load", schema: z.number() };

class Setup {
    readonly clock = new FakeClock();
    readonly sent: unknown[] = [];
    linkedNodeIds: string[] = ["two"];
    private deliver: (nodeId: string, payload: unknown) => void = () => {};
    readonly reports = new PeerReports({
        network: this.createNetwork(),
        clock: this.clock,
        events: new EventLog({ node: "one", clock: this.clock }),
    });

    receive(nodeId: string, payload: unknown): void {
        this.deliver(nodeId, payload);
    }

    private createNetwork(): PeerNetwork {
        const readLinked = (): string[] => this.linkedNodeIds;
        return {
            get linkedNodeIds() {
                return readLinked();
            },
            onReport: (_name: string, listener: (nodeId: string, payload: unknown) => void) => {
                this.deliver = listener;
            },
            sendReport: (_name: string, payload: unknown) => this.sent.push(payload),
        } as unknown as PeerNetwork;
    }
}

describe("PeerReports", () => {
    let setup: Setup;
    beforeEach(async () => {
        setup = new Setup();
        setup.reports.exchange(topic, () => 7);
        await setup.reports.start();
    });
    afterEach(() => setup.reports.stop());

    it("sends a report four times a second, and less often with many links", async () => {
        await setup.clock.advance(1_000);
        expect(setup.sent).toEqual([7, 7, 7, 7]);
        setup.linkedNodeIds = Array.from({ length: 64 }, (_unused, index) => `node-${index}`);
        await setup.clock.advance(250);
        setup.sent.length = 0;
        await setup.clock.advance(4_000);
        expect(setup.sent).toHaveLength(4);
    });

    it("lists a report as fresh until eight more may have been lost, and ignores invalid ones", async () => {
        setup.receive("two", 5);
        setup.receive("three", "none");
        expect(setup.reports.listFresh(topic).map(report => report.value)).toEqual([5]);
        await setup.clock.advance(2_000);
        expect(setup.reports.listFresh(topic)).toHaveLength(1);
        await setup.clock.advance(1);
        expect(setup.reports.listFresh(topic)).toEqual([]);
        expect(setup.reports.listAll(topic)).toHaveLength(1);
    });
});
