import type { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Membership } from "../membership/Membership";
import { rankReaders } from "../membership/rankReaders";
import type { BodyExchange } from "../peers/BodyExchange";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { FeedFollower } from "./FeedFollower";
import { FeedInbox, type FeedNotice, feedNoticeSchema, feedUpdateSchema } from "./FeedInbox";
import type { FeedUpdate } from "./types";

/** Options of {@link FeedDistribution}. */
export interface FeedDistributionOptions {
    readonly nodeId: string;
    readonly membership: Pick<Membership, "listLive">;
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    readonly bodies: Pick<BodyExchange, "offer" | "find" | "pull">;
    /** The followers whose readings are shared, by feed. */
    readonly followers: ReadonlyMap<string, FeedFollower<unknown>>;
}

/** Shares the readings of the store's feeds between the nodes, so that few nodes read for all. */
export class FeedDistribution {
    constructor(private readonly options: FeedDistributionOptions) {}

    async start(): Promise<void> {
        for (const [feed, follower] of this.options.followers) {
            this.registerFeed(feed, follower);
        }
    }

    private registerFeed(feed: string, follower: FeedFollower<unknown>): void {
        const { reports, bodies, membership, nodeId } = this.options;
        const updates: ReportTopic<FeedUpdate<unknown>> = {
            name: `feed/${feed}`,
            schema: feedUpdateSchema as unknown as z.ZodType<FeedUpdate<unknown>, z.ZodTypeDef, unknown>,
        };
        const notices: ReportTopic<FeedNotice> = {
            name: `feed-notice/${feed}`,
            schema: feedNoticeSchema as unknown as z.ZodType<FeedNotice, z.ZodTypeDef, unknown>,
        };
        const inbox = new FeedInbox({ follower, bodies });
        reports.listen(updates, update => inbox.receive(update));
        reports.listen(notices, (notice, fromNode) => inbox.receiveNotice(notice, fromNode));
        follower.setSharing({
            readRank: () =>
                Math.max(0, rankReaders({ feed, members: membership.listLive() }).indexOf(nodeId)),
            publish: update => this.publish(update, updates, notices),
        });
    }

    private publish(
        update: FeedUpdate<unknown>,
        updates: ReportTopic<FeedUpdate<unknown>>,
        notices: ReportTopic<FeedNotice>,
    ): void {
        const { reports, bodies } = this.options;
        const { written, removed, ...head } = update;
        const body = written.length > 0 ? bodies.offer({ written, removed }) : undefined;
        if (body) {
            reports.publish(notices, { ...head, body });
        }
        else {
            reports.publish(updates, update);
        }
    }
}

/** Name of the feed distribution service. */
export const feedDistributionName = createServiceName<FeedDistribution>("feed-distribution");
