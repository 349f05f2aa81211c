import { ObservableValue } from "../_lib/ObservableValue";
import type { FeedFollower } from "../feeds/FeedFollower";
import { FakeClock } from "../kernel/FakeClock";
import type { PeerAddress } from "../peers/types";
import { MemoryTableService } from "../platform/MemoryTableService";
import { EventLog } from "../telemetry/EventLog";
import { NodeRecords, nodeRecordsTable } from "./NodeRecords";
import type { Member } from "./types";

const self = { nodeId: "one", url: "ws://one" };
const other = { nodeId: "two", url: "ws://two" };
const hourMs = 3_600_000;

class Setup {
    readonly clock = new FakeClock();
    readonly tables = new MemoryTableService();
    readonly records = new ObservableValue<ReadonlyMap<string, PeerAddress> | undefined>(undefined);
    live: string[] = [self.nodeId];
    isSweeper = true;
    readonly running = new NodeRecords({
        nodeId: self.nodeId,
        peersUrl: self.url,
        tables: this.tables,
        dataCentre: "a",
        feed: { records: this.records } as unknown as FeedFollower<PeerAddress>,
        membership: {
            setRecordedNodes: () => {},
            listLive: () => this.live.map(nodeId => ({ nodeId })) as Member[],
        },
        isSweeper: () => this.isSweeper,
        clock: this.clock,
        events: new EventLog({ node: self.nodeId, clock: this.clock }),
    });

    async write(address: PeerAddress): Promise<void> {
        const key = address.nodeId;
        await this.tables.transact([{
            table: nodeRecordsTable,
            key,
            condition: { kind: "any" },
            value: address,
        }]);
    }

    /** Publishes the rows of the table to the feed; returns the names of the recorded nodes. */
    async refreshFeed(): Promise<string[]> {
        const rows = await this.tables.read(
            [self, other].map(({ nodeId }) => ({ table: nodeRecordsTable, key: nodeId })),
        );
        const known = rows.filter(row => row !== undefined).map(row => row.value as PeerAddress);
        this.records.set(new Map(known.map(address => [address.nodeId, address])));
        return known.map(({ nodeId }) => nodeId);
    }
}

describe("NodeRecords", () => {
    let setup: Setup;
    beforeEach(async () => {
        setup = new Setup();
        await setup.write(other);
        await setup.running.start();
        await setup.clock.advance(1);
        await setup.refreshFeed();
    });
    afterEach(() => setup.running.stop());

    it("removes the records of nodes that have been gone for long, and no others", async () => {
        setup.live = [self.nodeId, other.nodeId];
        await setup.clock.advance(hourMs);
        expect(await setup.refreshFeed()).toEqual(["one", "two"]);
        setup.live = [self.nodeId];
        await setup.clock.advance(60_000);
        expect(await setup.refreshFeed()).toEqual(["one", "two"]);
        await setup.clock.advance(hourMs);
        expect(await setup.refreshFeed()).toEqual(["one"]);
    });

    it("removes no records of other nodes unless it is the sweeper", async () => {
        setup.isSweeper = false;
        await setup.clock.advance(hourMs);
        expect(await setup.refreshFeed()).toEqual(["one", "two"]);
    });

    it("writes its record again when it was removed, but not during a planned stop", async () => {
        const removal = {
            table: nodeRecordsTable,
            key: "one",
            condition: { kind: "any" },
            value: undefined,
        } as const;
        await setup.tables.transact([removal]);
        await setup.refreshFeed();
        await setup.clock.advance(1);
        expect(await setup.refreshFeed()).toEqual(["one", "two"]);
        await setup.running.removeOwnRecord();
        await setup.refreshFeed();
        await setup.clock.advance(1_000);
        expect(await setup.refreshFeed()).toEqual(["two"]);
    });

    // Guards against a running node that nobody finds any more: a removal without an answer is carried out after its write.
    it("writes its record again when it was removed before its write was answered", async () => {
        const removal = {
            table: nodeRecordsTable,
            key: "one",
            condition: { kind: "any" },
            value: undefined,
        } as const;
        const transact = setup.tables.transact.bind(setup.tables);
        await transact([removal]);
        jest.spyOn(setup.tables, "transact").mockImplementationOnce(async operations => {
            const outcome = await transact(operations);
            await transact([removal]);
            await setup.refreshFeed();
            return outcome;
        });
        await setup.refreshFeed();
        await setup.clock.advance(60_000);
        expect(await setup.refreshFeed()).toEqual(["one", "two"]);
    });
});
