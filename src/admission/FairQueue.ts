/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
    /** Maximum number of queued requests. */
    readonly maxRequests: number;
    /** Maximum size of all queued request bodies, in bytes. */
    readonly maxBytes: number;
    /** While both kinds wait, one in this many dispatches goes to batch work; default 10. */
    readonly batchInterval?: number;
}

/** A queued request. */
export interface QueuedItem<T> {
    readonly accountId: string;
    readonly urgency: "interactive" | "batch";
    readonly bytes: number;
    /** Amount of work of the request. Accounts get equal shares of work, not of the number of requests. */
    readonly cost: number;
    readonly value: T;
}

interface AccountQueue<T> {
    readonly items: QueuedItem<T>[];
    /** Start tag in virtual time, which advances by the work served to the account; the smallest goes next. */
    virtualStart: number;
}

const defaultBatchInterval = 10;

/**
 * Queue that shares capacity fairly between client accounts, measured in work: start-time fair queuing (Goyal et al.
 * 1996) within each urgency. Interactive requests go first, but batch requests are never starved.
 */
export class FairQueue<T> {
    private readonly queues = {
        interactive: new Map<string, AccountQueue<T>>(),
        batch: new Map<string, AccountQueue<T>>(),
    };
    private readonly virtualTime = { interactive: 0, batch: 0 };
    private count = 0;
    private bytes = 0;
    private dispatchesSinceBatch = 0;

    constructor(private readonly options: FairQueueOptions) {}

    get size(): number {
        return this.count;
    }

    get queuedBytes(): number {
        return this.bytes;
    }

    /** Number of account queues, counted once for each urgency. */
    get accountCount(): number {
        return this.queues.interactive.size + this.queues.batch.size;
    }

    /** Counts the queued requests of an account. */
    countByAccount(accountId: string): number {
        const interactive = this.queues.interactive.get(accountId)?.items.length ?? 0;
        return interactive + (this.queues.batch.get(accountId)?.items.length ?? 0);
    }

    /**
     * Adds a request to the queue.
     *
     * @param item - the request
     * @returns false if the queue is full
     */
    push(item: QueuedItem<T>): boolean {
        if (this.count >= this.options.maxRequests || this.bytes + item.bytes > this.options.maxBytes) {
            return false;
        }
        const queues = this.queues[item.urgency];
        let queue = queues.get(item.accountId);
        if (!queue) {
            queue = { items: [], virtualStart: this.virtualTime[item.urgency] };
            queues.set(item.accountId, queue);
        }
        queue.items.push(item);
        this.count += 1;
        this.bytes += item.bytes;
        return true;
    }

    /** Returns the next request without removing it. */
    peek(): QueuedItem<T> | undefined {
        const urgency = this.pickUrgency();
        return urgency && this.pickAccountQueue(urgency)?.queue.items[0];
    }

    /** Removes and returns the next request. */
    take(): QueuedItem<T> | undefined {
        const urgency = this.pickUrgency();
        const picked = urgency && this.pickAccountQueue(urgency);
        if (!urgency || !picked) {
            return undefined;
        }
        const item = picked.queue.items.shift()!;
        this.virtualTime[urgency] = picked.queue.virtualStart;
        picked.queue.virtualStart += item.cost;
        this.dispatchesSinceBatch = urgency === "batch" ? 0 : this.dispatchesSinceBatch + 1;
        this.settleRemoval(item, urgency, picked.accountId);
        return item;
    }

    /** Removes a request that no longer waits. Returns false if it was not queued. */
    remove(item: QueuedItem<T>): boolean {
        const queue = this.queues[item.urgency].get(item.accountId);
        const index = queue?.items.indexOf(item) ?? -1;
        if (index < 0) {
            return false;
        }
        queue!.items.splice(index, 1);
        this.settleRemoval(item, item.urgency, item.accountId);
        return true;
    }

    private settleRemoval(item: QueuedItem<T>, urgency: "interactive" | "batch", accountId: string): void {
        this.count -= 1;
        this.bytes -= item.bytes;
        const queue = this.queues[urgency].get(accountId);
        if (queue && queue.items.length === 0 && queue.virtualStart <= this.virtualTime[urgency]) {
            this.queues[urgency].delete(accountId);
        }
        if (this.count === 0) {
            this.queues.interactive.clear();
            this.queues.batch.clear();
        }
    }

    private pickUrgency(): "interactive" | "batch" | undefined {
        const hasInteractive = hasItems(this.queues.interactive);
        const hasBatch = hasItems(this.queues.batch);
        if (hasInteractive && hasBatch) {
            const isBatchTurn =
                this.dispatchesSinceBatch + 1 >= (this.options.batchInterval ?? defaultBatchInterval);
            return isBatchTurn ? "batch" : "interactive";
        }
        return hasInteractive ? "interactive" : hasBatch ? "batch" : undefined;
    }

    private pickAccountQueue(
        urgency: "interactive" | "batch",
    ): { accountId: string; queue: AccountQueue<T>; } | undefined {
        let best: { accountId: string; queue: AccountQueue<T>; } | undefined;
        for (const [accountId, queue] of this.queues[urgency]) {
            if (queue.items.length > 0 && (!best || queue.virtualStart < best.queue.virtualStart)) {
                best = { accountId, queue };
            }
        }
        return best;
    }
}

const hasItems = <T>(queues: Map<string, AccountQueue<T>>): boolean => {
    for (const queue of queues.values()) {
        if (queue.items.length > 0) {
            return true;
        }
    }
    return false;
};
