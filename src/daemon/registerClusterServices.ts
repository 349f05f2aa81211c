import { splitAddress } from "../_lib/splitAddress";
import { computeFeedWaitMs } from "../feeds/computeFeedWaitMs";
import { FeedFollower, type FeedFollowerOptions } from "../feeds/FeedFollower";
import { FeedDistribution, feedDistributionName } from "../feeds/FeedDistribution";
import { StoreClock, storeClockName } from "../feeds/StoreClock";
import type { RecordFeed } from "../feeds/types";
import type { Kernel } from "../kernel/Kernel";
import type { ServiceName } from "../kernel/types";
import { isPoller } from "../membership/isPoller";
import { Membership, membershipName } from "../membership/Membership";
import { decodeNodeRecord, NodeRecords, nodeRecordsName, nodeRecordsTable } from "../membership/NodeRecords";
import { BodyExchange, bodyExchangeName } from "../peers/BodyExchange";
import { ClusterKey, clusterKeyName } from "../peers/ClusterKey";
import { GossipMap, gossipMapName } from "../peers/GossipMap";
import { PeerNetwork, peerNetworkName } from "../peers/PeerNetwork";
import { PeerReports, peerReportsName } from "../peers/PeerReports";
import { decodeQuarantineRecord, quarantineTable } from "../quarantine/QuarantineRecords";
import { usedGroup } from "../quotas/QuotaLimiter";
import { servingStateName } from "../routes/ServingState";
import { eventLogName } from "../telemetry/EventLog";
import { defaultConnectTimeoutMs } from "../upstreams/UpstreamClient";
import { ClusterSums, clusterSumsName } from "../sums/ClusterSums";
import { rolloutsGroup } from "../rollouts/RolloutTracker";
import { maxPastWindows, usageGroup } from "../usage/UsageLedger";
import { feedNames } from "./feedNames";
import type { ServingNodeOptions } from "./servingTypes";

const heartbeatMs = 250; // a lost member is removed from the directory of ready nodes within one link time-out
const linkTimeoutMs = 800; // three heartbeats
const goneAfterMs = 400; // from the loss of the link, if dialling it again fails
const maxPeerFrameBytes = 1_048_576;
const configurationFeedWaitMs = 1_000; // API keys are confirmed at least once a second
const nodeFeedWaitMs = 20_000;
const nodeFeedBatchMs = 200; // nodes that start together write their records one after the other
const quarantineFeedWaitMs = 20_000;
const processIdBytes = 4;

/**
 * Registers the services by which a node knows the store's records, the other nodes, and the sums over all nodes.
 *
 * @param kernel - the node's kernel
 * @param options - settings and adapters
 */
export const registerClusterServices = (kernel: Kernel, options: ServingNodeOptions): void => {
    registerStore(kernel, options);
    registerPeers(kernel, options);
};

const registerStore = (kernel: Kernel, { settings, platform, clock, random }: ServingNodeOptions): void => {
    kernel.register({ name: storeClockName, requires: [], create: () => new StoreClock({ clock }) });
    const { storeEra } = platform;
    const register = <T>(
        name: ServiceName<FeedFollower<T>>,
        feed: RecordFeed<T>,
        waitMs: number,
        batchMs = 0,
    ): void => registerFeed(kernel, name, { feed, waitMs, batchMs, clock, storeEra });
    register(feedNames.configurations, platform.configurations, configurationFeedWaitMs);
    const instanceFeedWaitMs = computeFeedWaitMs({
        maxPropagationMs: settings.upstreamDrainMs,
        answerTimeoutMs: platform.storeTimeoutMs,
        applyMs: defaultConnectTimeoutMs,
    });
    register(feedNames.instances, platform.instances, instanceFeedWaitMs);
    register(
        feedNames.nodes,
        platform.openFeed(nodeRecordsTable, decodeNodeRecord),
        nodeFeedWaitMs,
        nodeFeedBatchMs,
    );
    const quarantineFeed = platform.openFeed(quarantineTable, decodeQuarantineRecord);
    register(feedNames.quarantine, quarantineFeed, quarantineFeedWaitMs);
    kernel.register({
        name: clusterKeyName,
        requires: [eventLogName],
        create: find =>
            new ClusterKey({
                tables: platform.tables,
                storeEra,
                clock,
                random,
                events: find(eventLogName),
            }),
    });
};

const registerFeed = <T>(
    kernel: Kernel,
    name: ServiceName<FeedFollower<T>>,
    options: Pick<FeedFollowerOptions<T>, "feed" | "waitMs" | "batchMs" | "clock" | "storeEra">,
): void => {
    kernel.register({
        name,
        requires: [eventLogName, storeClockName],
        create: find =>
            new FeedFollower<T>({
                ...options,
                name: name.id,
                storeClock: find(storeClockName),
                events: find(eventLogName),
            }),
    });
};

const registerPeers = (kernel: Kernel, { settings, platform, clock, random }: ServingNodeOptions): void => {
    const { nodeId, dataCentre } = settings;
    const processId = `${nodeId}:${random.drawId(processIdBytes)}`;
    const peersUrl = `ws://${settings.peers}`;
    kernel.register({
        name: gossipMapName,
        requires: [eventLogName],
        create: find => new GossipMap({ nodeId, hybridClock: find(eventLogName).hybridClock }),
    });
    kernel.register({
        name: peerNetworkName,
        requires: [eventLogName, gossipMapName, clusterKeyName, servingStateName],
        create: find =>
            new PeerNetwork({
                nodeId,
                dataCentre: settings.dataCentre,
                readClusterKey: () => find(clusterKeyName).value,
                onWrongProof: () => void find(clusterKeyName).reload(),
                ...splitAddress(settings.peers),
                heartbeatMs,
                linkTimeoutMs,
                maxFrameBytes: maxPeerFrameBytes,
                clock,
                random,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                readRevision: () => find(servingStateName).table.value?.configuration.version ?? 0,
            }),
    });
    kernel.register({
        name: membershipName,
        requires: [peerNetworkName, gossipMapName],
        create: find =>
            new Membership({
                self: {
                    nodeId,
                    dataCentre: settings.dataCentre,
                    callersUrl: `http://${settings.callers}`,
                    peersUrl,
                    incarnation: clock.readWallMs(),
                },
                clock,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                network: find(peerNetworkName),
                heartbeatMs,
                goneAfterMs,
            }),
    });
    kernel.register({
        name: nodeRecordsName,
        requires: [membershipName, feedNames.nodes],
        create: find =>
            new NodeRecords({
                nodeId,
                dataCentre,
                peersUrl,
                tables: platform.tables,
                feed: find(feedNames.nodes),
                membership: find(membershipName),
                isSweeper: () =>
                    isPoller({ membership: find(membershipName), nodeId, job: nodeRecordsTable, count: 1 }),
                clock,
                events: find(eventLogName),
            }),
    });
    kernel.register({
        name: peerReportsName,
        requires: [peerNetworkName],
        create: find =>
            new PeerReports({ processId, network: find(peerNetworkName), events: find(eventLogName) }),
    });
    kernel.register({
        name: bodyExchangeName,
        requires: [peerNetworkName],
        create: find =>
            new BodyExchange({ network: find(peerNetworkName), clock, events: find(eventLogName) }),
    });
    kernel.register({
        name: clusterSumsName,
        requires: [peerNetworkName],
        create: find =>
            new ClusterSums({
                nodeId,
                processId,
                dataCentre,
                network: find(peerNetworkName),
                clock,
                events: find(eventLogName),
                lingerMsByGroup: {
                    [usedGroup]: settings.quotaWindowMs,
                    [usageGroup]: settings.usage.windowMs * maxPastWindows,
                    [rolloutsGroup]: settings.usage.windowMs * maxPastWindows,
                },
            }),
    });
    kernel.register({
        name: feedDistributionName,
        requires: [
            feedNames.configurations,
            feedNames.instances,
            feedNames.nodes,
            feedNames.quarantine,
            membershipName,
            peerReportsName,
            bodyExchangeName,
        ],
        create: find =>
            new FeedDistribution({
                nodeId,
                membership: find(membershipName),
                reports: find(peerReportsName),
                bodies: find(bodyExchangeName),
                followers: new Map<string, FeedFollower<unknown>>(
                    Object.values(feedNames).map(name => [
                        name.id,
                        find(name as ServiceName<FeedFollower<unknown>>),
                    ]),
                ),
            }),
    });
};
