import { LateTableService } from "../../standins/LateTableService";
import { FakeClock } from "../kernel/FakeClock";
import { resultCodes } from "../results/resultCodes";
import { ConfigurationStore } from "./ConfigurationStore";

const document = {
    classes: [{
        name: "c",
        urgency: "batch",
        latency: { firstTokenMs: 1, betweenTokensMs: 1, wholeMs: 1 },
        durability: "none",
    }],
    services: [{ kind: "plain", name: "s", defaultClass: "c" }],
    clientAccounts: [],
};
const change = { expectRevision: 0, changeId: "change-1", document };

describe("ConfigurationStore", () => {
    let clock: FakeClock;
    let tables: LateTableService;
    let store: ConfigurationStore;

    beforeEach(() => {
        clock = new FakeClock();
        tables = new LateTableService();
        store = new ConfigurationStore({ tables, clock });
    });

    /** Sends a change whose transactions get no answer. */
    const commitWithoutAnswer = async (): Promise<void> => {
        tables.lateTable = "configuration";
        const committed = store.commit(change);
        await clock.advance(5_000);
        tables.lateTable = undefined;
        expect((await committed).swap().unsafeCoerce().resultCode).toBe(resultCodes.configurationUnknown);
    };

    // Guards against a change that comes into force after its operator was told that it was not committed.
    it("does not commit a change late of which it was said that it is not committed", async () => {
        await commitWithoutAnswer();
        expect(await store.settleChange(change.changeId)).toBeUndefined();
        tables.commitLate();
        expect(await store.read()).toBeUndefined();
        expect(await store.settleChange(change.changeId)).toBeUndefined();
    });

    it("tells the revision of a change that was committed without an answer", async () => {
        await commitWithoutAnswer();
        tables.commitLate();
        expect(await store.settleChange(change.changeId)).toBe(1);
    });

    it("tells the revision of a change that is committed while its outcome is asked for", async () => {
        await commitWithoutAnswer();
        const read = tables.read.bind(tables);
        jest.spyOn(tables, "read").mockImplementationOnce(async addresses => {
            const rows = await read(addresses);
            tables.commitLate();
            return rows;
        });
        expect(await store.settleChange(change.changeId)).toBe(1);
    });

    it("refuses an abandoned change, and takes it under another id", async () => {
        expect(await store.settleChange(change.changeId)).toBeUndefined();
        const refused = (await store.commit(change)).swap().unsafeCoerce();
        expect(refused.resultCode).toBe(resultCodes.configurationConflict);
        expect(refused.message).toContain("under another id");
        expect((await store.commit({ ...change, changeId: "change-2" })).isRight()).toBe(true);
    });
});
