import { splitAddress } from "../_lib/splitAddress";
import { computeFeedWaitMs } from "../feeds/computeFeedWaitMs";
import { FeedFollower, type FeedFollowerOptions } from "../feeds/FeedFollower";
import { FeedDistribution, feedDistributionName } from "../feeds/FeedDistribution";
import { StoreClock, storeClockName } from "../feeds/StoreClock";
import { ClusterClock, clusterClockName } from "../feeds/ClusterClock";
import type { RecordFeed } from "../feeds/types";
import { InstanceScaler, instanceScalerName } from "../fleet/InstanceScaler";
import { ForwardServer, forwardServerName } from "../forwarding/ForwardServer";
import { createServiceName } from "../kernel/createServiceName";
import type { Kernel } from "../kernel/Kernel";
import type { ServiceName } from "../kernel/types";
import { Lease } from "../leases/Lease";
import { isPoller } from "../membership/isPoller";
import { Membership, membershipName } from "../membership/Membership";
import { decodeNodeRecord, NodeRecords, nodeRecordsName, nodeRecordsTable } from "../membership/NodeRecords";
import { Readiness, readinessName } from "../membership/Readiness";
import { ClusterKey, clusterKeyName } from "../peers/ClusterKey";
import { GossipMap, gossipMapName } from "../peers/GossipMap";
import { type PeerAddress, PeerNetwork, peerNetworkName } from "../peers/PeerNetwork";
import { PeerReports, peerReportsName } from "../peers/PeerReports";
import { InstanceRegistry, instanceRegistryName } from "../placement/InstanceRegistry";
import type { UpstreamInstance } from "../placement/types";
import { QuotaLimiter, quotaLimiterName, usedGroup } from "../quotas/QuotaLimiter";
import { RetryBudgets, retryBudgetsName } from "../retries/RetryBudgets";
import { ServingState, servingStateName } from "../routes/ServingState";
import type { ServingConfiguration } from "../routes/types";
import { EventLog, eventLogName } from "../telemetry/EventLog";
import { ForwardMetrics, forwardMetricsName } from "../telemetry/ForwardMetrics";
import { MetricsServer, metricsServerName } from "../telemetry/MetricsServer";
import { defaultConnectTimeoutMs } from "../upstreams/UpstreamClient";
import { ClusterSums, clusterSumsName } from "../sums/ClusterSums";
import { maxPastWindows, usageGroup, UsageLedger, usageLedgerName } from "../usage/UsageLedger";
import { UsageReporter, usageReporterName } from "../usage/UsageReporter";
import type { ServingNodeOptions, ServingPlatform } from "./servingTypes";

const configurationFeedName = createServiceName<FeedFollower<ServingConfiguration>>("configuration-feed");
const instanceFeedName = createServiceName<FeedFollower<UpstreamInstance>>("instance-feed");
const nodeFeedName = createServiceName<FeedFollower<PeerAddress>>("node-feed");
const dutyLeaseName = createServiceName<Lease>("duty-lease");

const heartbeatMs = 250; // a lost member is removed from the directory of ready nodes within one link time-out
const linkTimeoutMs = 800; // three heartbeats
const goneAfterMs = 400; // from the loss of the link, if dialling it again fails
const maxPeerFrameBytes = 1_048_576;
const configurationFeedWaitMs = 1_000; // API keys are confirmed at least once a second
const nodeFeedWaitMs = 20_000;
const freshShare = 0.8; // of the time after which a revoked key must no longer be accepted
const leaseFactor = 1.2; // times `leaseMs`, within which two nodes must not act alternately as the holder
const connectionShare = 0.8; // of an upstream's connections; the rest is for nodes that are starting and know no members yet
const minConnections = 8;
const processIdBytes = 4;

/**
 * Registers the services of a forwarding node with their dependencies.
 *
 * @param kernel - the node's kernel
 * @param options - settings and adapters
 */
export const registerServingServices = (kernel: Kernel, options: ServingNodeOptions): void => {
    registerServers(kernel, options);
    registerStore(kernel, options);
    registerPeers(kernel, options);
    registerServing(kernel, options);
    if (options.platform.dutyCloud) {
        registerDuties(kernel, options, options.platform.dutyCloud);
    }
};

const registerServers = (kernel: Kernel, { settings, platform, clock, logger }: ServingNodeOptions): void => {
    kernel.register({
        name: eventLogName,
        requires: [],
        create: () => new EventLog({ node: settings.nodeId, clock, logger, maxRetainedEvents: 0 }),
    });
    kernel.register({ name: forwardMetricsName, requires: [], create: () => new ForwardMetrics() });
    kernel.register({
        name: metricsServerName,
        requires: [forwardMetricsName],
        create: find =>
            new MetricsServer({
                ...splitAddress(settings.metrics),
                registry: find(forwardMetricsName).registry,
            }),
    });
    kernel.register({
        name: forwardServerName,
        requires: [eventLogName],
        create: find =>
            new ForwardServer({
                ...splitAddress(settings.callers),
                clock,
                events: find(eventLogName),
                formatRetryAfter: platform.formatRetryAfter,
            }),
    });
};

const registerStore = (kernel: Kernel, { settings, platform, clock, random }: ServingNodeOptions): void => {
    kernel.register({ name: storeClockName, requires: [], create: () => new StoreClock({ clock }) });
    const { storeEra } = platform;
    const register = <T>(name: ServiceName<FeedFollower<T>>, feed: RecordFeed<T>, waitMs: number): void =>
        registerFeed(kernel, name, { feed, waitMs, clock, storeEra });
    register(configurationFeedName, platform.configurations, configurationFeedWaitMs);
    const instanceFeedWaitMs = computeFeedWaitMs({
        maxPropagationMs: settings.upstreamDrainMs,
        answerTimeoutMs: platform.storeTimeoutMs,
        applyMs: defaultConnectTimeoutMs,
    });
    register(instanceFeedName, platform.instances, instanceFeedWaitMs);
    register(nodeFeedName, platform.openFeed(nodeRecordsTable, decodeNodeRecord), nodeFeedWaitMs);
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
    options: Pick<FeedFollowerOptions<T>, "feed" | "waitMs" | "clock" | "storeEra">,
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
        requires: [membershipName, nodeFeedName],
        create: find =>
            new NodeRecords({
                nodeId,
                dataCentre,
                peersUrl,
                tables: platform.tables,
                feed: find(nodeFeedName),
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
                },
            }),
    });
    kernel.register({
        name: feedDistributionName,
        requires: [configurationFeedName, instanceFeedName, nodeFeedName, membershipName, peerReportsName],
        create: find =>
            new FeedDistribution({
                nodeId,
                membership: find(membershipName),
                reports: find(peerReportsName),
                followers: new Map<string, FeedFollower<unknown>>(
                    [configurationFeedName, instanceFeedName, nodeFeedName].map(name => [
                        name.id,
                        find(name as ServiceName<FeedFollower<unknown>>),
                    ]),
                ),
            }),
    });
};

const registerServing = (kernel: Kernel, { settings, clock }: ServingNodeOptions): void => {
    kernel.register({
        name: servingStateName,
        requires: [configurationFeedName],
        create: find =>
            new ServingState({
                feed: find(configurationFeedName),
                events: find(eventLogName),
                maxAgeMs: () => settings.keyRevocationMs * freshShare,
            }),
    });
    kernel.register({
        name: readinessName,
        requires: [membershipName, servingStateName, clusterSumsName],
        create: find =>
            new Readiness({
                nodeId: settings.nodeId,
                membership: find(membershipName),
                state: find(servingStateName),
                sums: find(clusterSumsName),
            }),
    });
    kernel.register({
        name: instanceRegistryName,
        requires: [instanceFeedName, peerReportsName, clusterSumsName, servingStateName, readinessName],
        create: find =>
            new InstanceRegistry({
                feed: find(instanceFeedName),
                clock,
                events: find(eventLogName),
                reports: find(peerReportsName),
                sums: find(clusterSumsName),
                readMaxConnections: service => {
                    const declared = find(servingStateName).table.value?.findService(service)?.maxConnections;
                    const share = (declared ?? 0) * connectionShare / find(readinessName).countPresumedLive();
                    return Math.max(minConnections, Math.floor(share));
                },
            }),
    });
    kernel.register({
        name: quotaLimiterName,
        requires: [clusterSumsName, readinessName, servingStateName],
        create: find =>
            new QuotaLimiter({
                clock,
                sums: find(clusterSumsName),
                countNodes: () => find(readinessName).countPresumedLive(),
                findQuota: name => find(servingStateName).table.value?.findAccountByName(name)?.quota,
                windowMs: settings.quotaWindowMs,
            }),
    });
    kernel.register({
        name: retryBudgetsName,
        requires: [readinessName],
        create: find =>
            new RetryBudgets({
                clock,
                ...settings.retries,
                countNodes: () => find(readinessName).countPresumedLive(),
            }),
    });
    kernel.register({
        name: clusterClockName,
        requires: [storeClockName, clusterSumsName],
        create: find =>
            new ClusterClock({ clock, storeClock: find(storeClockName), sums: find(clusterSumsName) }),
    });
    kernel.register({
        name: usageLedgerName,
        requires: [clusterClockName, clusterSumsName],
        create: find =>
            new UsageLedger({
                clusterClock: find(clusterClockName),
                sums: find(clusterSumsName),
                windowMs: settings.usage.windowMs,
            }),
    });
};

const registerDuties = (
    kernel: Kernel,
    { settings, platform, clock, random }: ServingNodeOptions,
    cloud: NonNullable<ServingPlatform["dutyCloud"]>,
): void => {
    const { nodeId } = settings;
    const duty = "cloud";
    const { tables, storeEra, dutyCallTimeoutMs } = platform;
    kernel.register({
        name: dutyLeaseName,
        requires: [eventLogName, membershipName],
        create: find =>
            new Lease({
                duty,
                nodeId,
                tables,
                storeEra,
                clock,
                random,
                events: find(eventLogName),
                isCandidate: () => isPoller({ membership: find(membershipName), nodeId, job: duty }),
                durationMs: settings.leaseMs * leaseFactor,
                takeoverDelayMs: dutyCallTimeoutMs,
            }),
    });
    kernel.register({
        name: usageReporterName,
        requires: [usageLedgerName, clusterClockName, dutyLeaseName],
        create: find =>
            new UsageReporter({
                ledger: find(usageLedgerName),
                clusterClock: find(clusterClockName),
                lease: find(dutyLeaseName),
                cloud,
                tables,
                storeEra,
                clock,
                events: find(eventLogName),
                dueMs: settings.usage.dueMs,
                callTimeoutMs: dutyCallTimeoutMs,
            }),
    });
    kernel.register({
        name: instanceScalerName,
        requires: [instanceRegistryName, dutyLeaseName, servingStateName],
        create: find =>
            new InstanceScaler({
                lease: find(dutyLeaseName),
                cloud,
                state: find(servingStateName),
                instances: find(instanceRegistryName),
                clock,
                events: find(eventLogName),
                callTimeoutMs: dutyCallTimeoutMs,
            }),
    });
};
