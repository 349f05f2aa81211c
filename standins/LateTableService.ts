import { MemoryTableService } from "../src/platform/MemoryTableService";
import { StoreError } from "../src/platform/StoreError";
import type { Row, RowAddress, RowOperation, TableService, TransactionOutcome } from "../src/platform/types";

/** In-memory table service that takes some writes without an answer and carries them out only when it is told to. */
export class LateTableService implements TableService {
    readonly memory = new MemoryTableService();
    /** Table whose next writes are taken without an answer; undefined if all writes are answered. */
    lateTable: string | undefined;
    private readonly lateWrites: (readonly RowOperation[])[] = [];

    /** Number of writes that were taken and not carried out. */
    get lateCount(): number {
        return this.lateWrites.length;
    }

    async transact(operations: readonly RowOperation[]): Promise<TransactionOutcome> {
        if (operations.some(({ table }) => table === this.lateTable)) {
            this.lateWrites.push(operations);
            throw new StoreError("no answer", "unknown");
        }
        return this.memory.transact(operations);
    }

    read(addresses: readonly RowAddress[]): Promise<readonly (Row | undefined)[]> {
        return this.memory.read(addresses);
    }

    list(table: string, prefix: string, limit: number, after?: string): Promise<readonly Row[]> {
        return this.memory.list(table, prefix, limit, after);
    }

    /** Carries the writes out that were taken without an answer. */
    commitLate(): void {
        this.lateWrites.splice(0).forEach(operations => this.memory.commit(operations));
    }
}
