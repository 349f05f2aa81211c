import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { Lease } from "../leases/Lease";
import { MemoryTableService } from "../platform/MemoryTableService";
import { EventLog } from "../telemetry/EventLog";
import { GroupCommitter } from "./GroupCommitter";
import { RecordExpiry } from "./RecordExpiry";
import type { SendRecord } from "./types";

describe("RecordExpiry", () => {
    it("drops old answers, never frees their keys, and leaves open records alone", async () => {
        const clock = new FakeClock();
        const tables = new MemoryTableService();
        const events = new EventLog({ node: "a", clock });
        const put = (table: string, key: string, value: unknown): unknown =>
            tables.commit([{ table, key, condition: { kind: "absent" }, value }]);
        const answer = { status: 201, headers: {}, body: "" };
        const base = { attemptId: "x", nodeId: "a", digest: "d", atMs: clock.readWallMs() };
        for (let index = 0; index < 7; index += 1) {
            put("sends", `old-${index}`, { ...base, state: "done", answer });
        }
        put("sends", "sending", { ...base, state: "sending" });
        put("sends", "young", { ...base, state: "done", answer, atMs: clock.readWallMs() + 90_000 });
        put("kept-requests", "open", { state: "open", atMs: clock.readWallMs() });
        put("kept-requests", "answered", { state: "answered", atMs: clock.readWallMs() });
        const lease = new Lease({
            duty: "expiry",
            nodeId: "a",
            tables,
            clock,
            random: new SeededRandom(1),
            events,
            isCandidate: () => true,
        });
        const expiry = new RecordExpiry({
            tables,
            committer: new GroupCommitter({ tables, clock }),
            clock,
            events,
            lease,
            retentionMs: 60_000,
            rowsPerPage: 3,
        });
        await expiry.start();
        await clock.advance(100_000);
        await expiry.stop();
        const records = (await tables.list("sends", "", 100)).map(row =>
            [row.key, row.value as SendRecord] as const
        );
        const states = new Map(records.map(([key, record]) => [key, record.state]));
        expect([...states.keys()].filter(key => key.startsWith("old-")).length).toBe(7);
        expect(
            records.filter(([key]) => key.startsWith("old-")).every(([, record]) =>
                record.state === "expired" && !record.answer
            ),
        ).toBe(true);
        expect(states.get("sending")).toBe("sending");
        expect(states.get("young")).toBe("done");
        expect((await tables.list("kept-requests", "", 100)).map(row => row.key)).toEqual(["open"]);
    });
});
