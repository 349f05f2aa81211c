import type { Row, RowAddress, RowCondition, RowOperation, TableService, TransactionOutcome } from "./types";

/** In-memory table service: the reference implementation, used by tests and by the stand-in. */
export class MemoryTableService implements TableService {
    private readonly tables = new Map<string, Map<string, Row>>();
    /** Revisions at which rows were removed, by table and key. */
    private readonly removedRevisions = new Map<string, number>();
    /** Number of transactions so far, including those that failed with a conflict. */
    transactions = 0;
    /** Number of rows written so far. */
    rowsWritten = 0;
    /** Number of read and list calls so far. */
    reads = 0;

    async transact(operations: readonly RowOperation[]): Promise<TransactionOutcome> {
        return this.commit(operations);
    }

    async read(addresses: readonly RowAddress[]): Promise<readonly (Row | undefined)[]> {
        this.reads += 1;
        return addresses.map(address => this.getOrCreateTable(address.table).get(address.key));
    }

    async list(table: string, prefix: string, limit: number, after = ""): Promise<readonly Row[]> {
        this.reads += 1;
        return [...this.getOrCreateTable(table).values()]
            .filter(row => row.key.startsWith(prefix) && row.key > after)
            .sort((a, b) => a.key < b.key ? -1 : 1)
            .slice(0, limit);
    }

    /**
     * Commits all operations or none, synchronously.
     *
     * @param operations - the operations
     * @returns the new revisions, or the indexes of the failed conditions
     */
    commit(operations: readonly RowOperation[]): TransactionOutcome {
        this.transactions += 1;
        const failed = operations.flatMap((operation, index) => {
            const row = this.getOrCreateTable(operation.table).get(operation.key);
            return meetsCondition(row, operation.condition) ? [] : [index];
        });
        if (failed.length > 0) {
            return { kind: "conflict", failed };
        }
        return { kind: "committed", revisions: operations.map(operation => this.write(operation)) };
    }

    /** Copies the current rows, for {@link restore}. */
    takeCopy(): ReadonlyMap<string, ReadonlyMap<string, Row>> {
        return new Map([...this.tables].map(([name, rows]) => [name, new Map(rows)]));
    }

    /** Replaces the rows by an older copy. Later writes are lost, and their revisions are assigned again. */
    restore(copy: ReadonlyMap<string, ReadonlyMap<string, Row>>): void {
        this.tables.clear();
        this.removedRevisions.clear();
        copy.forEach((rows, name) => this.tables.set(name, new Map(rows)));
    }

    private write(operation: RowOperation): number {
        this.rowsWritten += 1;
        const table = this.getOrCreateTable(operation.table);
        const name = JSON.stringify([operation.table, operation.key]);
        const revision = (table.get(operation.key)?.revision ?? this.removedRevisions.get(name) ?? 0) + 1;
        this.removedRevisions.delete(name);
        if (operation.value === undefined) {
            table.delete(operation.key);
            this.removedRevisions.set(name, revision);
        }
        else {
            table.set(operation.key, { key: operation.key, revision, value: operation.value });
        }
        return revision;
    }

    private getOrCreateTable(name: string): Map<string, Row> {
        let table = this.tables.get(name);
        if (!table) {
            table = new Map();
            this.tables.set(name, table);
        }
        return table;
    }
}

const meetsCondition = (row: Row | undefined, condition: RowCondition): boolean => {
    switch (condition.kind) {
        case "any":
            return true;
        case "absent":
            return row === undefined;
        case "revision":
            return row?.revision === condition.revision;
    }
};
