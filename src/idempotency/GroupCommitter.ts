import type { Clock } from "../kernel/types";
import { StoreError } from "../platform/StoreError";
import type { RowOperation, TableService } from "../platform/types";

/** Outcome of the write of one row. */
export type WriteOutcome =
    | { readonly kind: "committed"; readonly revision: number; }
    | { readonly kind: "conflict"; }
    | { readonly kind: "failed"; readonly error: StoreError; };

/** Options of {@link GroupCommitter}. */
export interface GroupCommitterOptions {
    readonly tables: TableService;
    readonly clock: Clock;
    /** Maximum rows in one transaction; default 100. */
    readonly maxRows?: number;
    /** Maximum transactions in flight; default 2. */
    readonly maxInFlight?: number;
    /** Back-off after a failed transaction, doubled up to five times on repeated failures; default 50 ms. */
    readonly backoffMs?: number;
}

interface PendingWrite {
    readonly operation: RowOperation;
    readonly resolve: (outcome: WriteOutcome) => void;
}

const maxBackoffDoublings = 5;

/**
 * Commits row writes of many callers in few transactions (group commit). Writes that arrive while the maximum
 * number of transactions is in flight share the next one. A write whose condition fails is removed from its
 * transaction and reported as a conflict; the remaining writes are sent again.
 */
export class GroupCommitter {
    private pendingWrites: PendingWrite[] = [];
    private inFlight = 0;
    private consecutiveFailures = 0;
    /** Number of transactions sent. */
    transactionCount = 0;
    private readonly maxRows: number;
    private readonly maxInFlight: number;

    constructor(private readonly options: GroupCommitterOptions) {
        this.maxRows = options.maxRows ?? 100;
        this.maxInFlight = options.maxInFlight ?? 2;
    }

    /**
     * Writes one row if its condition holds.
     *
     * @param operation - the row, its condition and its new value
     * @returns the outcome; the promise never rejects
     */
    write(operation: RowOperation): Promise<WriteOutcome> {
        return new Promise(resolve => {
            this.pendingWrites.push({ operation, resolve });
            queueMicrotask(() => this.startBatches());
        });
    }

    private startBatches(): void {
        while (this.inFlight < this.maxInFlight && this.pendingWrites.length > 0) {
            const batch = this.takeBatch();
            this.inFlight += 1;
            void this.commitBatch(batch).finally(() => {
                this.inFlight -= 1;
                this.startBatches();
            });
        }
    }

    /** Removes the next batch from the pending writes: up to `maxRows` writes, at most one for each row. */
    private takeBatch(): PendingWrite[] {
        const keys = new Set<string>();
        const batch: PendingWrite[] = [];
        const remaining: PendingWrite[] = [];
        for (const write of this.pendingWrites) {
            const key = `${write.operation.table}/${write.operation.key}`;
            if (batch.length < this.maxRows && !keys.has(key)) {
                keys.add(key);
                batch.push(write);
            }
            else {
                remaining.push(write);
            }
        }
        this.pendingWrites = remaining;
        return batch;
    }

    private async commitBatch(batch: readonly PendingWrite[]): Promise<void> {
        let remaining = batch;
        while (remaining.length > 0) {
            this.transactionCount += 1;
            try {
                const outcome = await this.options.tables.transact(remaining.map(write => write.operation));
                this.consecutiveFailures = 0;
                if (outcome.kind === "committed") {
                    remaining.forEach((write, index) =>
                        write.resolve({ kind: "committed", revision: outcome.revisions[index] })
                    );
                    return;
                }
                const failed = new Set(outcome.failed);
                remaining.filter((_, index) => failed.has(index)).forEach(write =>
                    write.resolve({ kind: "conflict" })
                );
                remaining = remaining.filter((_, index) => !failed.has(index));
            }
            catch (error) {
                const storeError = error instanceof StoreError
                    ? error
                    : new StoreError(String(error), "unknown");
                remaining.forEach(write => write.resolve({ kind: "failed", error: storeError }));
                await this.pauseAfterFailure();
                return;
            }
        }
    }

    /** Waits with exponential back-off, which limits the load on a failing table service. */
    private pauseAfterFailure(): Promise<void> {
        const doublings = Math.min(this.consecutiveFailures, maxBackoffDoublings);
        this.consecutiveFailures += 1;
        return this.options.clock.sleep((this.options.backoffMs ?? 50) * 2 ** doublings);
    }
}
