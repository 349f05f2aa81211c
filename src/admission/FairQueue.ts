/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
    /** Most requests that may wait. */
    readonly maxRequests: number;
    /** Most bytes of request bodies that may wait. */
    readonly maxBytes: number;
    /** One in this many dispatches goes to batch work while interactive work waits; default 10. */
    readonly batchInterval?: number;
}

/** A waiting request. */
export interface QueuedItem<T> {
    readonly accountId: string;
    readonly urgency: "interactive" | "batch";
    readonly bytes: number;
    /** Work that the request asks for; accounts share work, not numbers of requests. */
    readonly cost: number;
    readonly value: T;
}

interface AccountLane<T> {
    readonly items: QueuedItem<T>[];
    /** Work that the account had, as virtual time; the smallest goes next. */
    served: number;
}

const defaultBatchEvery = 10;

/**
 * Shares capacity between client accounts by the work they ask for: start-time fair queuing (Goyal et al. 1996)
 * within each urgency; interactive goes first, batch is never starved.
 */
export class FairQueue<T> {
    private readonly lanes = {
        interactive: new Map<string, AccountLane<T>>(),
        batch: new Map<string, AccountLane<T>>(),
    };
    private readonly virtualTime = { interactive: 0, batch: 0 };
    private count = 0;
    private bytes = 0;
    private sinceBatch = 0;

    constructor(private readonly options: FairQueueOptions) {}

    get size(): number {
        return this.count;
    }

    get queuedBytes(): number {
        return this.bytes;
    }

    /** Number of accounts that wait. */
    get accountCount(): number {
        return this.lanes.interactive.size + this.lanes.batch.size;
    }

    /** Number of requests that an account has waiting. */
    countByAccount(accountId: string): number {
        const interactive = this.lanes.interactive.get(accountId)?.items.length ?? 0;
        return interactive + (this.lanes.batch.get(accountId)?.items.length ?? 0);
    }

    /**
     * Adds a request.
     *
     * @param item - the request
     * @returns false when the queue is full
     */
    push(item: QueuedItem<T>): boolean {
        if (this.count >= this.options.maxRequests || this.bytes + item.bytes > this.options.maxBytes) {
            return false;
        }
        const lanes = this.lanes[item.urgency];
        let lane = lanes.get(item.accountId);
        if (!lane) {
            lane = { items: [], served: this.virtualTime[item.urgency] };
            lanes.set(item.accountId, lane);
        }
        lane.items.push(item);
        this.count += 1;
        this.bytes += item.bytes;
        return true;
    }

    /** The request that goes next, left in the queue. */
    peek(): QueuedItem<T> | undefined {
        const urgency = this.pickUrgency();
        return urgency && this.pickLane(urgency)?.lane.items[0];
    }

    /** Takes out the request that goes next. */
    take(): QueuedItem<T> | undefined {
        const urgency = this.pickUrgency();
        const picked = urgency && this.pickLane(urgency);
        if (!urgency || !picked) {
            return undefined;
        }
        const item = picked.lane.items.shift()!;
        this.virtualTime[urgency] = picked.lane.served;
        picked.lane.served += item.cost;
        this.sinceBatch = urgency === "batch" ? 0 : this.sinceBatch + 1;
        this.forget(item, urgency, picked.accountId);
        return item;
    }

    /** Takes out a request that gave up. */
    remove(item: QueuedItem<T>): boolean {
        const lane = this.lanes[item.urgency].get(item.accountId);
        const index = lane?.items.indexOf(item) ?? -1;
        if (index < 0) {
            return false;
        }
        lane!.items.splice(index, 1);
        this.forget(item, item.urgency, item.accountId);
        return true;
    }

    private forget(item: QueuedItem<T>, urgency: "interactive" | "batch", accountId: string): void {
        this.count -= 1;
        this.bytes -= item.bytes;
        const lane = this.lanes[urgency].get(accountId);
        if (lane && lane.items.length === 0 && lane.served <= this.virtualTime[urgency]) {
            this.lanes[urgency].delete(accountId);
        }
        if (this.count === 0) {
            this.lanes.interactive.clear();
            this.lanes.batch.clear();
        }
    }

    private pickUrgency(): "interactive" | "batch" | undefined {
        const hasInteractive = hasItems(this.lanes.interactive);
        const hasBatch = hasItems(this.lanes.batch);
        if (hasInteractive && hasBatch) {
            const batchTurn = this.sinceBatch + 1 >= (this.options.batchInterval ?? defaultBatchEvery);
            return batchTurn ? "batch" : "interactive";
        }
        return hasInteractive ? "interactive" : hasBatch ? "batch" : undefined;
    }

    private pickLane(
        urgency: "interactive" | "batch",
    ): { accountId: string; lane: AccountLane<T>; } | undefined {
        let best: { accountId: string; lane: AccountLane<T>; } | undefined;
        for (const [accountId, lane] of this.lanes[urgency]) {
            if (lane.items.length > 0 && (!best || lane.served < best.lane.served)) {
                best = { accountId, lane };
            }
        }
        return best;
    }
}

const hasItems = <T>(lanes: Map<string, AccountLane<T>>): boolean => {
    for (const lane of lanes.values()) {
        if (lane.items.length > 0) {
            return true;
        }
    }
    return false;
};
