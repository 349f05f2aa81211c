import { FeedReplica } from "./FeedReplica";
import type { FeedUpdate } from "./types";

const maxPauseMs = 2_000;

describe("FeedReplica", () => {
    let replica: FeedReplica<string>;

    const confirm = (storeMs: number, fields: Partial<FeedUpdate<string>> = {}): void => {
        const reading = {
            era: 1,
            after: undefined,
            position: 1,
            isRecovery: false,
            written: [],
            removed: [],
        };
        replica.apply({ ...reading, storeMs, ...fields }, storeMs);
    };

    beforeEach(() => {
        replica = new FeedReplica();
    });

    it("tells of no pause where records are confirmed in time, whoever reads them", () => {
        confirm(100);
        confirm(100 + maxPauseMs);
        confirm(100 + 2 * maxPauseMs, { isRecovery: true });
        expect(replica.resumedStoreMs).toBeUndefined();
    });

    it.each<[string, number, Partial<FeedUpdate<string>>]>([
        ["a pause without confirmations", 101 + maxPauseMs, {}],
        ["a restore of the store", 200, { era: 2 }],
    ])("tells when confirmations went on after %s", (_name, storeMs, fields) => {
        confirm(100);
        confirm(storeMs, fields);
        expect(replica.resumedStoreMs).toBe(storeMs);
    });

    it("counts a first listing after failed calls as one after a pause", () => {
        confirm(100, { isRecovery: true });
        expect(replica.resumedStoreMs).toBe(100);
    });
});
