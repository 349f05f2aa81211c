import { createServiceName } from "../kernel/createServiceName";
import type { FeedFollower } from "../feeds/FeedFollower";
import type { PeerAddress } from "../peers/types";
import type { UpstreamInstance } from "../placement/types";
import type { QuarantineRecord } from "../quarantine/QuarantineRecords";
import type { OperatorRecord } from "../routes/types";

/** Names of the services that follow the feeds of the platform's store. */
export const feedNames = {
    configurations: createServiceName<FeedFollower<OperatorRecord>>("configuration-feed"),
    instances: createServiceName<FeedFollower<UpstreamInstance>>("instance-feed"),
    quarantine: createServiceName<FeedFollower<QuarantineRecord>>("quarantine-feed"),
    nodes: createServiceName<FeedFollower<PeerAddress>>("node-feed"),
};
