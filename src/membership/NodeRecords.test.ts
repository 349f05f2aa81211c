import { ObservableValue } from "../_lib/ObservableValue";
import type { FeedFollower } from "../feeds/FeedFollower";
import { FakeClock } from "../kernel/FakeClock";
import type { PeerAddress } from "../peers/PeerNetwork";
import { MemoryTableService } from "../platform/MemoryTableService";
import { EventLog } from "../telemetry/EventLog";
import { NodeRecords, nodeRecordsTable } from "./NodeRecords";
import type { Member } from "./types";

const self = { nodeId: "one", url: "ws://one" };
const other = { nodeId: "two", url: "ws://two" };
const longMs = 3_600_000;

class Setup {
    readonly clock = new FakeClock();
    readonly tables = new MemoryTableService();
    readonly records = new ObservableValue<ReadonlyMap<string, PeerAddress> | undefined>(undefined);
    live: string[] = [self.nodeId];
    isWatcher = true;
    readonly running = new NodeRecords({
        nodeId: self.nodeId,
        peersUrl: self.url,
        tables: this.tables,
        feed: { records: this.records } as unknown as FeedFollower<PeerAddress>,
        membership: {
            setRecorded: () => {},
            listLive: () => this.live.map(nodeId => ({ nodeId })) as Member[],
        },
        isSweeper: () => this.isWatcher,
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

    /** Shows the rows to the node as its feed would. */
    async show(): Promise<string[]> {
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
        await setup.show();
    });
    afterEach(() => setup.running.stop());

    it("removes the records of nodes that are gone for good, and no others", async () => {
        setup.live = [self.nodeId, other.nodeId];
        await setup.clock.advance(longMs);
        expect(await setup.show()).toEqual(["one", "two"]);
        setup.live = [self.nodeId];
        await setup.clock.advance(60_000);
        expect(await setup.show()).toEqual(["one", "two"]);
        await setup.clock.advance(longMs);
        expect(await setup.show()).toEqual(["one"]);
    });

    it("leaves the removal to the watcher", async () => {
        setup.isWatcher = false;
        await setup.clock.advance(longMs);
        expect(await setup.show()).toEqual(["one", "two"]);
    });

    it("writes its record again when it was removed, but not while it leaves", async () => {
        const drop = {
            table: nodeRecordsTable,
            key: "one",
            condition: { kind: "any" },
            value: undefined,
        } as const;
        await setup.tables.transact([drop]);
        await setup.show();
        await setup.clock.advance(1);
        expect(await setup.show()).toEqual(["one", "two"]);
        await setup.running.removeOwnRecord();
        await setup.show();
        await setup.clock.advance(1_000);
        expect(await setup.show()).toEqual(["two"]);
    });
});
