import type { Clock } from "../kernel/types";
import { StoreError } from "../platform/StoreError";
import type { RowOperation, TableService } from "../platform/types";

/** Outcome of one row's write. */
export type WriteOutcome =
    | { readonly kind: "committed"; readonly revision: number; }
    | { readonly kind: "conflict"; }
    | { readonly kind: "failed"; readonly error: StoreError; };

/** Options of {@link GroupCommitter}. */
export interface GroupCommitterOptions {
    readonly tables: TableService;
    readonly clock: Clock;
    /** Most rows in one transaction; default 100. */
    readonly maxRows?: number;
    /** Transactions in flight at once; default 2. */
    readonly maxInFlight?: number;
    /** Pause after a failed transaction, doubled up to ten times; default 50 ms. */
    readonly backoffMs?: number;
}

interface WaitingWrite {
    readonly operation: RowOperation;
    readonly settle: (outcome: WriteOutcome) => void;
}

const maxPauseDoublings = 5;

/**
 * Writes rows of many callers in few transactions. Writes that arrive while transactions are in flight share
 * the next one. A row whose condition fails is taken out and fails alone; the rest is sent again.
 */
export class GroupCommitter {
    private waiting: WaitingWrite[] = [];
    private inFlight = 0;
    private failures = 0;
    /** Number of transactions sent. */
    transactionCount = 0;
    private readonly maxRows: number;
    private readonly maxInFlight: number;

    constructor(private readonly options: GroupCommitterOptions) {
        this.maxRows = options.maxRows ?? 100;
        this.maxInFlight = options.maxInFlight ?? 2;
    }

    /**
     * Writes one row under its condition.
     *
     * @param operation - the write
     * @returns what became of it; never rejects
     */
    write(operation: RowOperation): Promise<WriteOutcome> {
        return new Promise(settle => {
            this.waiting.push({ operation, settle });
            queueMicrotask(() => this.pump());
        });
    }

    private pump(): void {
        while (this.inFlight < this.maxInFlight && this.waiting.length > 0) {
            const batch = this.takeBatch();
            this.inFlight += 1;
            void this.commit(batch).finally(() => {
                this.inFlight -= 1;
                this.pump();
            });
        }
    }

    /** Takes writes up to the limit, at most one for each row. */
    private takeBatch(): WaitingWrite[] {
        const keys = new Set<string>();
        const batch: WaitingWrite[] = [];
        const left: WaitingWrite[] = [];
        for (const write of this.waiting) {
            const key = `${write.operation.table}/${write.operation.key}`;
            if (batch.length < this.maxRows && !keys.has(key)) {
                keys.add(key);
                batch.push(write);
            }
            else {
                left.push(write);
            }
        }
        this.waiting = left;
        return batch;
    }

    private async commit(batch: readonly WaitingWrite[]): Promise<void> {
        let rest = batch;
        while (rest.length > 0) {
            this.transactionCount += 1;
            try {
                const outcome = await this.options.tables.transact(rest.map(write => write.operation));
                this.failures = 0;
                if (outcome.kind === "committed") {
                    rest.forEach((write, index) =>
                        write.settle({ kind: "committed", revision: outcome.revisions[index] })
                    );
                    return;
                }
                const failed = new Set(outcome.failed);
                rest.filter((_, index) => failed.has(index)).forEach(write =>
                    write.settle({ kind: "conflict" })
                );
                rest = rest.filter((_, index) => !failed.has(index));
            }
            catch (error) {
                const storeError = error instanceof StoreError
                    ? error
                    : new StoreError(String(error), "unknown");
                rest.forEach(write => write.settle({ kind: "failed", error: storeError }));
                await this.pauseAfterFailure();
                return;
            }
        }
    }

    /** Keeps a failing service from being sent transactions as fast as it refuses them. */
    private pauseAfterFailure(): Promise<void> {
        const doublings = Math.min(this.failures, maxPauseDoublings);
        this.failures += 1;
        return this.options.clock.sleep((this.options.backoffMs ?? 50) * 2 ** doublings);
    }
}
