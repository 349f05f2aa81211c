import type { RandomSource } from "../kernel/types";
import type { Row, RowCondition, TableService } from "../platform/types";
import type { LeaseRow } from "./types";

/** Options of {@link LeaseRowStore}. */
export interface LeaseRowStoreOptions {
    /** Name of the duty, which is the key of the row. */
    readonly duty: string;
    readonly tables: TableService;
    readonly random: RandomSource;
}

/** The row after a write that this node tried. */
export interface WrittenRow {
    readonly revision: number;
    /** Whether the row has this write, or an earlier one of the same holding. */
    readonly isThisWrite: boolean;
}

const table = "leases";
const writeIdBytes = 4;

/** The row of a lease in the table service. */
export class LeaseRowStore {
    constructor(private readonly options: LeaseRowStoreOptions) {}

    /**
     * Reads the row.
     *
     * @throws StoreError if the store cannot be read
     */
    async read(): Promise<Row | undefined> {
        const [row] = await this.options.tables.read([{ table, key: this.options.duty }]);
        return row;
    }

    /** Creates the row, for its revision; returns undefined if another node was faster. */
    async create(value: LeaseRow): Promise<Row | undefined> {
        const { duty: key, tables } = this.options;
        const outcome = await tables.transact([{ table, key, condition: { kind: "absent" }, value }]);
        return outcome.kind === "committed" ? { key, revision: outcome.revisions[0], value } : undefined;
    }

    /**
     * Writes the row. After a lost answer, reads it.
     *
     * @param value - the row; an id of the write is added
     * @param revision - revision that the row must have
     * @returns the row's state; undefined if it names another holding
     * @throws StoreError if it is not known which holding the row names
     */
    async write(value: LeaseRow, revision: number): Promise<WrittenRow | undefined> {
        const { duty: key, tables, random } = this.options;
        const writeId = random.drawId(writeIdBytes);
        const condition: RowCondition = { kind: "revision", revision };
        try {
            const outcome = await tables.transact([{ table, key, condition, value: { ...value, writeId } }]);
            if (outcome.kind === "committed") {
                return { revision: outcome.revisions[0], isThisWrite: true };
            }
        }
        catch {
            // The write may have taken effect.
        }
        const row = await this.read();
        const found = row?.value as LeaseRow | undefined;
        return found?.holdingId === value.holdingId
            ? { revision: row!.revision, isThisWrite: found.writeId === writeId }
            : undefined;
    }
}
