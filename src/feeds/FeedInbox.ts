import { z } from "zod";
import { type BodyExchange, type BodyReference, bodyReferenceSchema } from "../peers/BodyExchange";
import type { FeedFollower } from "./FeedFollower";
import type { FeedUpdate } from "./types";

/** A reading of the store whose records members are asked for. */
export interface FeedNotice extends Omit<FeedUpdate<unknown>, "written" | "removed"> {
    readonly body: BodyReference;
}

/** Options of {@link FeedInbox}. */
export interface FeedInboxOptions {
    readonly follower: Pick<FeedFollower<unknown>, "receive" | "hasRead" | "reload">;
    readonly bodies: Pick<BodyExchange, "find" | "pull">;
}

interface Fetch {
    readonly body: BodyReference;
    /** Members that have the records, or are about to. */
    readonly sources: string[];
    /** What arrived meanwhile, in this order. */
    readonly waiting: (() => void)[];
}

const maxWaiting = 256; // readings arrive a few times a second

const feedRecordsSchema = z.object({
    written: z.array(z.tuple([z.string(), z.unknown()])),
    removed: z.array(z.string()),
});
const positionSchema = z.number().int().nonnegative().safe();
const headSchema = z.object({
    era: z.number().finite().optional(),
    after: positionSchema.optional(),
    position: positionSchema,
    storeMs: z.number().max(Number.MAX_SAFE_INTEGER),
    isRecovery: z.boolean(),
});
/** Schema of a {@link FeedUpdate} between nodes. */
export const feedUpdateSchema = headSchema.merge(feedRecordsSchema);
/** Schema of a {@link FeedNotice}. */
export const feedNoticeSchema = headSchema.extend({ body: bodyReferenceSchema });

/**
 * Takes in the readings that other nodes pass on. The records of large ones are fetched from a member; what arrives
 * meanwhile waits, as it may build on them. If they cannot be fetched, this node reads the store.
 */
export class FeedInbox {
    private fetch: Fetch | undefined;

    constructor(private readonly options: FeedInboxOptions) {}

    /** Takes in a reading that came with its records. */
    receive(update: FeedUpdate<unknown>): void {
        this.runInOrder(() => this.options.follower.receive(update));
    }

    /**
     * Takes in a reading that came without its records.
     *
     * @param notice - the reading
     * @param fromNode - the member that can be asked for the records
     */
    receiveNotice(notice: FeedNotice, fromNode: string): void {
        if (this.fetch?.body.digest === notice.body.digest) {
            this.fetch.sources.push(fromNode);
        }
        this.runInOrder(() => this.applyNotice(notice, fromNode));
    }

    private runInOrder(apply: () => void): void {
        if (!this.fetch) {
            apply();
            return;
        }
        this.fetch.waiting.push(apply);
        if (this.fetch.waiting.length > maxWaiting) {
            this.fetch.waiting.shift();
        }
    }

    private applyNotice({ body, ...head }: FeedNotice, fromNode: string): void {
        const { follower, bodies } = this.options;
        if (follower.hasRead(head)) {
            follower.receive({ ...head, after: head.position, written: [], removed: [] }); // confirms what is known
            return;
        }
        const known = bodies.find(body);
        if (known !== undefined) {
            this.applyRecords(head, known);
            return;
        }
        this.fetch = { body, sources: [fromNode], waiting: [] };
        void this.runFetch(this.fetch, head);
    }

    private async runFetch(fetch: Fetch, head: Omit<FeedNotice, "body">): Promise<void> {
        const records = await this.options.bodies.pull(fetch.body, fetch.sources);
        this.fetch = undefined;
        this.applyRecords(head, records);
        fetch.waiting.forEach(apply => this.runInOrder(apply));
    }

    private applyRecords(head: Omit<FeedNotice, "body">, records: unknown): void {
        const parsed = feedRecordsSchema.safeParse(records);
        if (parsed.success) {
            this.options.follower.receive({ ...head, ...parsed.data } as FeedUpdate<unknown>);
        }
        else {
            this.options.follower.reload();
        }
    }
}
