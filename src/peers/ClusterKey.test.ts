import { listOddValues } from "../../standins/platform/listOddValues";
import { parseStoredValue } from "../../standins/platform/parseStoredValue";
import { StoreEra } from "../feeds/StoreEra";
import { FakeClock } from "../kernel/FakeClock";
import { SeededRandom } from "../kernel/SeededRandom";
import { MemoryTableService } from "../platform/MemoryTableService";
import { EventLog } from "../telemetry/EventLog";
import { ClusterKey } from "./ClusterKey";

const address = { table: "cluster", key: "key" } as const;
const anyCondition = { kind: "any" } as const;
const reloadMs = 2_000;

const oddRows = listOddValues({ key: "a" }).map(({ name, bytes }) =>
    [name, parseStoredValue(bytes) ?? null] as const
);

describe("ClusterKey", () => {
    let clock: FakeClock;
    let tables: MemoryTableService;
    let storeEra: StoreEra;
    let seed = 0;

    beforeEach(() => {
        clock = new FakeClock();
        tables = new MemoryTableService();
        storeEra = new StoreEra();
    });

    const startKey = async (): Promise<ClusterKey> => {
        seed += 1;
        const random = new SeededRandom(seed);
        const events = new EventLog({ node: "n", clock });
        const key = new ClusterKey({ tables, storeEra, clock, random, events });
        const started = key.start();
        await clock.advance(100);
        await started;
        return key;
    };

    const putRow = (value: unknown): void =>
        void tables.commit([{ ...address, condition: anyCondition, value }]);

    // Guards against a node that never starts, or trusts whoever knows an odd row, since the row holds no secret.
    it.each(oddRows)("replaces a row of another writer that holds no secret: %s", async (_name, value) => {
        putRow(value);
        const first = await startKey();
        const second = await startKey();
        expect(first.value).toMatch(/^[0-9a-f]{64}$/);
        expect(second.value).toBe(first.value);
    });

    // Guards against nodes that stay apart from those that start after their secret was replaced.
    it.each([undefined, null, "odd"])(
        "takes over the secret of a process that started after %p",
        async odd => {
            const first = await startKey();
            putRow(odd);
            const second = await startKey();
            expect(second.value).not.toBe(first.value);
            await first.reload();
            expect(first.value).toBe(second.value);
        },
    );

    it("stores its secret again when it finds another writer's row, and reads the row rarely", async () => {
        const first = await startKey();
        const { value } = first;
        putRow("odd");
        await first.reload();
        expect((await tables.read([address]))[0]?.value).toBe(value);
        const { reads } = tables;
        await first.reload();
        expect(tables.reads).toBe(reads);
        await clock.advance(reloadMs);
        await first.reload();
        expect(tables.reads).toBe(reads + 1);
    });

    // Guards against nodes without links since one of them read the secret just before it was replaced.
    it("takes a secret over that was replaced soon after the last time it was read", async () => {
        const first = await startKey();
        await first.reload();
        putRow("odd");
        const second = await startKey();
        await first.reload();
        await clock.advance(reloadMs);
        expect(first.value).toBe(second.value);
    });
});
