import { listOddValues } from "../../standins/platform/listOddValues";
import { parseStoredValue } from "../../standins/platform/parseStoredValue";
import { ObservableValue } from "../_lib/ObservableValue";
import { FakeClock } from "../kernel/FakeClock";
import { EventLog } from "../telemetry/EventLog";
import { CrashQuarantine } from "./CrashQuarantine";
import { decodeQuarantineRecord, type QuarantineRecord, QuarantineRecords } from "./QuarantineRecords";

const nowMs = 5_000_000;
const holdMs = 1_800_000;

const decodeAll = (values: readonly unknown[]): Map<string, QuarantineRecord> => {
    const records = new Map<string, QuarantineRecord>();
    values.forEach((value, index) => {
        const record = decodeQuarantineRecord(`part-${index}`, value);
        if (record) {
            records.set(`part-${index}`, record);
        }
    });
    return records;
};

describe("odd rows of quarantined parts", () => {
    // Guards against a part that is refused for good, since its row says that its quarantine begins in the future.
    it("from the future quarantine nothing and are removed", async () => {
        const clock = new FakeClock();
        const events = new EventLog({ node: "n", clock });
        const values = [1e15, 1e308, nowMs + holdMs, nowMs - 1].map(sinceStoreMs => ({ sinceStoreMs }));
        const records = new ObservableValue<ReadonlyMap<string, QuarantineRecord> | undefined>(
            decodeAll(values),
        );
        const removed: string[] = [];
        const quarantine = new CrashQuarantine({
            reports: { publish: () => {}, listen: () => {} },
            records: new QuarantineRecords({
                tables: {
                    transact: async operations => {
                        removed.push(...operations.filter(({ value }) => !value).map(({ key }) => key));
                        return { kind: "committed", revisions: operations.map(() => 1) };
                    },
                },
                feed: { records },
                storeClock: { readStoreMs: () => nowMs },
                events,
            }),
            isTeller: () => true,
            clock,
            events,
        });
        const started = quarantine.start();
        await clock.advance(400);
        await started;
        expect(quarantine.size).toBe(1);
        expect(quarantine.readRemainingMs({ partIds: ["part-3"], identity: undefined })).toBeGreaterThan(0);
        expect(new Set(removed)).toEqual(new Set(["part-0", "part-1", "part-2"]));
        await quarantine.stop();
    });

    it("of another form are no records", () => {
        const odd = listOddValues({ sinceStoreMs: nowMs });
        const isNumber = (name: string): boolean =>
            /sinceStoreMs: (huge|2\^|negative number|fraction)/.test(name);
        const unusable = odd.filter(({ name }) => !isNumber(name));
        expect(decodeAll(unusable.map(({ bytes }) => parseStoredValue(bytes))).size).toBe(0);
    });
});
