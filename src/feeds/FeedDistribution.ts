import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Membership } from "../membership/Membership";
import { rankReaders } from "../membership/rankReaders";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { FeedFollower } from "./FeedFollower";
import type { FeedUpdate } from "./types";

/** Options of {@link FeedDistribution}. */
export interface FeedDistributionOptions {
    readonly nodeId: string;
    readonly membership: Pick<Membership, "listLive">;
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    /** The followers whose readings are shared, by feed. */
    readonly followers: ReadonlyMap<string, FeedFollower<unknown>>;
}

const positionSchema = z.number().int().nonnegative().safe();
const updateSchema = z.object({
    era: z.number().finite().optional(),
    after: positionSchema.optional(),
    position: positionSchema,
    storeMs: z.number().max(Number.MAX_SAFE_INTEGER),
    isRecovery: z.boolean(),
    written: z.array(z.tuple([z.string(), z.unknown()])),
    removed: z.array(z.string()),
});

/** Shares the readings of the store's feeds between the nodes, so that few nodes read for all. */
export class FeedDistribution {
    constructor(private readonly options: FeedDistributionOptions) {}

    async start(): Promise<void> {
        for (const [feed, follower] of this.options.followers) {
            this.registerFeed(feed, follower);
        }
    }

    private registerFeed(feed: string, follower: FeedFollower<unknown>): void {
        const { reports, membership, nodeId } = this.options;
        const topic: ReportTopic<FeedUpdate<unknown>> = {
            name: `feed/${feed}`,
            schema: updateSchema as unknown as z.ZodType<FeedUpdate<unknown>, z.ZodTypeDef, unknown>,
        };
        reports.listen(topic, update => follower.receive(update));
        follower.setSharing({
            readRank: () =>
                Math.max(0, rankReaders({ feed, members: membership.listLive() }).indexOf(nodeId)),
            publish: update => reports.publish(topic, update),
        });
    }
}

/** Name of the feed distribution service. */
export const feedDistributionName = createServiceName<FeedDistribution>("feed-distribution");
