import type { ClusterClock } from "../feeds/ClusterClock";
import { UsageLedger } from "./UsageLedger";

const windowMs = 5_000;
const window = 200;

describe("UsageLedger", () => {
    const others = new Map<string, number>();
    let contributed: ReadonlyMap<string, number>;
    let ledger: UsageLedger;

    beforeEach(async () => {
        others.clear();
        let read: () => ReadonlyMap<string, number> = () => new Map();
        ledger = new UsageLedger({
            clusterClock: { readMs: () => window * windowMs + 1 } as ClusterClock,
            sums: {
                registerContributor: (_group, reader) => {
                    read = reader;
                },
                readOthers: () => others,
            },
            windowMs,
        });
        await ledger.start();
        ledger.recordRequest("alpha");
        contributed = read();
    });

    it("adds the counts of the other nodes to its own, window by window", () => {
        others.set(`${window}/alpha`, 2).set(`${window}/beta`, 3).set(`${window - 1}/alpha`, 9);
        expect(ledger.computeTotals(window)).toEqual({ alpha: 3, beta: 3 });
        expect(ledger.computeTotals(window - 1)).toEqual({ alpha: 9 });
        expect([...contributed]).toEqual([[`${window}/alpha`, 1]]);
    });

    it("recovers from saved totals only what the present counts lack", () => {
        others.set(`${window}/alpha`, 2);
        ledger.recoverTotals(window, { alpha: 5, beta: 1 });
        expect(ledger.computeTotals(window)).toEqual({ alpha: 5, beta: 1 });
        ledger.recordRequest("alpha");
        expect(ledger.computeTotals(window)).toEqual({ alpha: 6, beta: 1 });
        ledger.recoverTotals(window, { alpha: 2 });
        expect(ledger.computeTotals(window)).toEqual({ alpha: 4 });
    });
});
