import { LateTableService } from "../../standins/LateTableService";
import { GroupCommitter } from "../idempotency/GroupCommitter";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { KeptRequests, type StoreResult } from "./KeptRequests";
import type { RequestRecord } from "./RequestRecord";
import type { RequestSnapshot } from "./RequestSnapshot";

const table = "kept-requests";
const accountId = "account";
const snapshot: RequestSnapshot = {
    id: "request",
    accountId,
    service: "llm",
    className: "batch",
    body: {},
    acceptedAtMs: 1,
    kept: true,
    events: Buffer.alloc(0),
    nextOffset: 0,
    ended: false,
    attempts: 0,
};
const answered = {
    id: snapshot.id,
    state: "answered",
    description: { accountId },
    log: { read: () => Buffer.alloc(0) },
} as unknown as RequestRecord;

describe("KeptRequests", () => {
    let clock: FakeClock;
    let tables: LateTableService;
    let members: string[];
    let takenOver: string[];
    let kept: KeptRequests;

    const createKeptRequests = (nodeId: string): KeptRequests =>
        new KeptRequests({
            nodeId,
            tables,
            committer: new GroupCommitter({ tables, clock }),
            clock,
            events: new EventLog({ node: nodeId, clock }),
            listPresentMembers: () => members,
            isPoller: () => true,
            takeOver: ({ id }) => takenOver.push(id) > 0,
        });

    beforeEach(() => {
        clock = new FakeClock();
        tables = new LateTableService();
        members = ["a", "b"];
        takenOver = [];
        kept = createKeptRequests("a");
    });

    /** Stores the request; its first write gets no answer. */
    const storeLate = async (): Promise<StoreResult> => {
        tables.lateTable = table;
        const stored = kept.store(snapshot);
        await clock.advance(10);
        tables.lateTable = undefined;
        expect(tables.lateCount).toBeGreaterThan(0);
        await clock.advance(1_000);
        return stored;
    };

    const readState = async (): Promise<string | undefined> =>
        (await kept.read(snapshot.id, accountId))?.state;

    it("keeps the answer when the request is stored once more by a write that is carried out late", async () => {
        expect(await storeLate()).toBe("stored");
        await kept.finish(answered);
        tables.commitLate();
        expect(await readState()).toBe("answered");
    });

    it("does not run an answered request again that such a write has listed as open", async () => {
        await storeLate();
        await kept.finish(answered);
        tables.commitLate();
        members = ["b"];
        const other = createKeptRequests("b");
        await other.start();
        await clock.advance(20_000);
        await other.stop();
        expect(takenOver).toEqual([]);
        expect(await tables.list("kept-open", "", 10)).toEqual([]);
    });

    it("takes a request for stored whose first write was carried out without an answer", async () => {
        tables.lateTable = table;
        const stored = kept.store(snapshot);
        await clock.advance(10);
        tables.lateTable = undefined;
        tables.commitLate();
        await clock.advance(1_000);
        expect(await stored).toBe("stored");
        expect(await readState()).toBe("open");
    });

    it("replaces the row of an earlier request with the same id", async () => {
        await kept.finish(answered);
        const stored = kept.store(snapshot);
        await clock.advance(200);
        expect(await stored).toBe("stored");
        expect(await readState()).toBe("open");
    });

    it("takes over the request of a node that is gone", async () => {
        await kept.store(snapshot);
        members = ["b"];
        const other = createKeptRequests("b");
        await other.start();
        await clock.advance(20_000);
        await other.stop();
        expect(takenOver).toEqual([snapshot.id]);
    });
});
