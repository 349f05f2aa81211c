import { GroupCommitter } from "../../src/idempotency/GroupCommitter";
import { SendRecords } from "../../src/idempotency/SendRecords";
import { runTask } from "../../src/kernel/runTask";
import { SystemClock } from "../../src/kernel/SystemClock";
import { SystemRandom } from "../../src/kernel/SystemRandom";
import type { Task } from "../../src/kernel/types";
import { MemoryTableService } from "../../src/platform/MemoryTableService";
import type { RowOperation, TransactionOutcome } from "../../src/platform/types";
import { EventLog } from "../../src/telemetry/EventLog";
import { Invariants } from "../../src/telemetry/Invariants";
import { fitLine } from "./fitLine";
import { readOwnUsage } from "./measureOwnUsage";
import type { LinearFit } from "./types";

const concurrencies: readonly number[] = [1, 10, 100];
const callsPerSize = 2_000;
const storeDelayMs = 5;
const sendDelayMs = 5;

/** Table service in memory that answers with the delay of a service in the same region. */
class DelayedTableService extends MemoryTableService {
    override async transact(operations: readonly RowOperation[]): Promise<TransactionOutcome> {
        await new Promise(resolve => setTimeout(resolve, storeDelayMs));
        return this.commit(operations);
    }
}

/** Measures at-most-once records with 1, 10 and 100 concurrent calls: transactions, rows and CPU time per call. */
export const measureSendRecords = async (): Promise<LinearFit[]> => {
    const transactions: { size: number; value: number; }[] = [];
    const perSecond: { size: number; value: number; }[] = [];
    const rows: { size: number; value: number; }[] = [];
    const cpu: { size: number; value: number; }[] = [];
    for (const size of concurrencies) {
        const tables = new DelayedTableService();
        const records = createSendRecords(tables);
        const before = readOwnUsage().cpuMicroseconds;
        const startedMs = performance.now();
        await runCalls(records, size);
        const seconds = (performance.now() - startedMs) / 1_000;
        transactions.push({ size, value: tables.transactions / callsPerSize });
        perSecond.push({ size, value: tables.transactions / seconds });
        rows.push({ size, value: tables.rowsWritten / callsPerSize });
        cpu.push({ size, value: (readOwnUsage().cpuMicroseconds - before) / callsPerSize });
        await records.stop();
    }
    return [
        fitLine("table transactions per non-idempotent call", "call at once", transactions),
        fitLine("table transactions a second of one node", "call at once", perSecond),
        fitLine("table rows written per non-idempotent call", "call at once", rows),
        fitLine("record processor microseconds per call", "call at once", cpu),
    ];
};

const createSendRecords = (tables: MemoryTableService): SendRecords => {
    const clock = new SystemClock();
    const events = new EventLog({ node: "bench", clock });
    return new SendRecords({
        nodeId: "bench",
        tables,
        committer: new GroupCommitter({ tables, clock }),
        clock,
        random: new SystemRandom(),
        events,
        invariants: new Invariants({ events }),
    });
};

const runCalls = async (records: SendRecords, concurrency: number): Promise<void> => {
    let startedCount = 0;
    const runWorker = async (): Promise<void> => {
        while (startedCount < callsPerSize) {
            startedCount += 1;
            const key = `call-${startedCount}`;
            await runTask(() => runCall(records, key), { name: key }).done;
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runWorker));
};

function* runCall(records: SendRecords, key: string): Task<void> {
    const claim = yield* records.claim(key, "digest");
    if (claim.kind === "claimed") {
        claim.permit.consume();
        yield new Promise(resolve => setTimeout(resolve, sendDelayMs));
        yield* records.recordAnswer(claim.permit, "digest", { status: 201, headers: {}, body: "b2s=" });
    }
}
