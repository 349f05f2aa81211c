import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { splitAddress } from "../_lib/splitAddress";
import { storeClockName } from "../feeds/StoreClock";
import { ClusterClock, clusterClockName } from "../feeds/ClusterClock";
import { ForwardServer, forwardServerName } from "../forwarding/ForwardServer";
import type { Kernel } from "../kernel/Kernel";
import type { FindService } from "../kernel/types";
import { membershipName } from "../membership/Membership";
import { Readiness, readinessName } from "../membership/Readiness";
import { SoftwareVersions, softwareVersionsName } from "../origins/SoftwareVersions";
import { SoleVersions, soleVersionsName } from "../origins/SoleVersions";
import { StreamOrigins, streamOriginsName } from "../origins/StreamOrigins";
import { VersionRecords, versionRecordsName } from "../origins/VersionRecords";
import { bodyExchangeName } from "../peers/BodyExchange";
import { peerNetworkName } from "../peers/PeerNetwork";
import { peerReportsName } from "../peers/PeerReports";
import { BrittleServices, brittleServicesName } from "../placement/BrittleServices";
import type { ComputeRateShareOptions } from "../placement/computeRateShare";
import { InstanceRegistry, instanceRegistryName } from "../placement/InstanceRegistry";
import { isListingCurrent } from "../placement/isListingCurrent";
import { UpstreamLimits, upstreamLimitsName } from "../placement/UpstreamLimits";
import { CrashQuarantine, crashQuarantineName } from "../quarantine/CrashQuarantine";
import { QuarantineRecords } from "../quarantine/QuarantineRecords";
import { QuotaLimiter, quotaLimiterName } from "../quotas/QuotaLimiter";
import { RetryBudgets, retryBudgetsName } from "../retries/RetryBudgets";
import { isPoller } from "../membership/isPoller";
import { rankReaders } from "../membership/rankReaders";
import { ConfigurationKeeper, configurationKeeperName } from "../routes/ConfigurationKeeper";
import { WorkBalance, workBalanceName } from "../scheduling/WorkBalance";
import { ServingState, servingStateName } from "../routes/ServingState";
import { PlannedStop, plannedStopName } from "../stopping/PlannedStop";
import { EventLog, eventLogName } from "../telemetry/EventLog";
import { ForwardMetrics, forwardMetricsName } from "../telemetry/ForwardMetrics";
import { MetricsServer, metricsServerName } from "../telemetry/MetricsServer";
import { eventKinds } from "../telemetry/eventKinds";
import { TunnelDialer, tunnelDialerName } from "../tunnels/TunnelDialer";
import { TunnelServer, tunnelServerName } from "../tunnels/TunnelServer";
import { clusterKeyName } from "../peers/ClusterKey";
import { clusterSumsName } from "../sums/ClusterSums";
import { UpstreamClient } from "../upstreams/UpstreamClient";
import { UsageLedger, usageLedgerName } from "../usage/UsageLedger";
import { feedNames } from "./feedNames";
import { registerClusterServices } from "./registerClusterServices";
import { registerDutyServices } from "./registerDutyServices";
import { registerRolloutTracker } from "./registerRollouts";
import type { ServingNodeOptions } from "./servingTypes";

const freshShare = 0.8; // of the time after which a revoked key must no longer be accepted
const connectionShare = 0.8; // of an upstream's connections; the rest is for nodes that are starting and know no members yet
const minConnections = 8;
const minKeptMs = 30_000; // also for streams that began under another configuration
const relayShare = 1 / 2; // of the time in which an upstream that leaves may get requests; a member learns of it in the rest
const streamTries = 2; // a stream that a caller takes up at its end lasts as long again

/**
 * Registers the services of a forwarding node with their dependencies.
 *
 * @param kernel - the node's kernel
 * @param options - settings and adapters
 */
export const registerServingServices = (kernel: Kernel, options: ServingNodeOptions): void => {
    registerServers(kernel, options);
    registerClusterServices(kernel, options);
    registerServing(kernel, options);
    if (options.platform.dutyCloud) {
        registerDutyServices(kernel, options, options.platform.dutyCloud);
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
                maxConnections: settings.limits.maxCheckConnections,
            }),
    });
    kernel.register({ name: plannedStopName, requires: [], create: () => new PlannedStop({ clock }) });
    kernel.register({
        name: forwardServerName,
        requires: [eventLogName, plannedStopName],
        create: find =>
            new ForwardServer({
                ...splitAddress(settings.callers),
                clock,
                events: find(eventLogName),
                plannedStop: find(plannedStopName),
                formatRetryAfter: platform.formatRetryAfter,
                maxHeldBytes: settings.limits.maxHeldBytes,
                maxConnections: settings.limits.maxCallerConnections,
            }),
    });
};

const registerServing = (kernel: Kernel, options: ServingNodeOptions): void => {
    const { settings, clock } = options;
    kernel.register({
        name: servingStateName,
        requires: [feedNames.configurations],
        create: find =>
            new ServingState({
                feed: find(feedNames.configurations),
                events: find(eventLogName),
                maxAgeMs: () => settings.keyRevocationMs * freshShare,
                changeMs: settings.configurationMs,
            }),
    });
    kernel.register({
        name: configurationKeeperName,
        requires: [
            servingStateName,
            feedNames.configurations,
            peerReportsName,
            bodyExchangeName,
            membershipName,
        ],
        create: find =>
            new ConfigurationKeeper({
                state: find(servingStateName),
                feed: find(feedNames.configurations),
                reports: find(peerReportsName),
                bodies: find(bodyExchangeName),
                isTeller: () =>
                    isPoller({
                        membership: find(membershipName),
                        nodeId: settings.nodeId,
                        job: configurationKeeperName.id,
                    }),
                clock,
                events: find(eventLogName),
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
    registerTunnels(kernel, options);
    registerUpstreams(kernel, options);
    registerOrigins(kernel, options);
    registerQuarantine(kernel, options);
    registerRolloutTracker(kernel, options);
    if (settings.placement === "work") {
        kernel.register({
            name: workBalanceName,
            requires: [clusterSumsName],
            create: find => new WorkBalance({ clock, sums: find(clusterSumsName) }),
        });
    }
    kernel.register({
        name: quotaLimiterName,
        requires: [clusterSumsName, readinessName, servingStateName],
        create: find =>
            new QuotaLimiter({
                clock,
                sums: find(clusterSumsName),
                countNodes: () => find(readinessName).countPresumedLive(),
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

/** Registers the upstreams that the platform lists, and the limits that they state. */
const registerUpstreams = (kernel: Kernel, options: ServingNodeOptions): void => {
    const { settings, clock } = options;
    const readNodes = (find: FindService, name: string): Omit<ComputeRateShareOptions, "limitPerS"> => {
        const live = find(membershipName).listLive().map(({ nodeId }) => nodeId);
        const liveNodes = Math.max(1, live.length);
        return {
            rank: Math.max(0, rankByRendezvous(name, live).indexOf(settings.nodeId)),
            liveNodes,
            presumedNodes: Math.max(liveNodes, find(readinessName).countPresumedLive()),
        };
    };
    kernel.register({
        name: upstreamLimitsName,
        requires: [peerReportsName, membershipName, readinessName],
        create: find =>
            new UpstreamLimits({
                reports: find(peerReportsName),
                readNodes: name => readNodes(find, name),
                clock,
                events: find(eventLogName),
            }),
    });
    kernel.register({
        name: brittleServicesName,
        requires: [peerReportsName, membershipName, readinessName],
        create: find =>
            new BrittleServices({
                reports: find(peerReportsName),
                readNodes: name => readNodes(find, name),
                clock,
                events: find(eventLogName),
            }),
    });
    kernel.register({
        name: instanceRegistryName,
        requires: [
            feedNames.instances,
            peerReportsName,
            clusterSumsName,
            servingStateName,
            readinessName,
            upstreamLimitsName,
            brittleServicesName,
            tunnelDialerName,
        ],
        create: find => {
            const tunnels = find(tunnelDialerName);
            const registry = new InstanceRegistry({
                feed: find(feedNames.instances),
                clock,
                events: find(eventLogName),
                reports: find(peerReportsName),
                sums: find(clusterSumsName),
                limits: find(upstreamLimitsName),
                brittle: find(brittleServicesName),
                createClient: ({ id, address }) =>
                    new UpstreamClient({
                        address,
                        connect: options.connectUpstream,
                        isListingCurrent: () => isListingCurrent(find(feedNames.instances)),
                        detour: {
                            openTunnel: target => tunnels.open(target),
                            clock,
                            onChange: way =>
                                find(eventLogName).emit(eventKinds.upstreamWayChanged, { runner: id, way }),
                        },
                    }),
                readMaxConnections: service => {
                    const declared = find(servingStateName).table.value?.findService(service)?.maxConnections;
                    const share = (declared ?? 0) * connectionShare / find(readinessName).countPresumedLive();
                    return Math.max(minConnections, Math.floor(share));
                },
            });
            tunnels.onMemberLeft(() => registry.renewRelayed());
            return registry;
        },
    });
};

/** Registers what opens connections to upstreams through members, for this node and for others. */
const registerTunnels = (kernel: Kernel, options: ServingNodeOptions): void => {
    const { settings, clock, random } = options;
    const { nodeId, dataCentre } = settings;
    kernel.register({
        name: tunnelDialerName,
        requires: [membershipName, clusterKeyName],
        create: find =>
            new TunnelDialer({
                nodeId,
                dataCentre,
                membership: find(membershipName),
                readClusterKey: () => find(clusterKeyName).value,
                clock,
                random,
            }),
    });
    kernel.register({
        name: tunnelServerName,
        requires: [peerNetworkName, clusterKeyName, instanceRegistryName],
        create: find =>
            new TunnelServer({
                nodeId,
                network: find(peerNetworkName),
                readClusterKey: () => find(clusterKeyName).value,
                clock,
                isUpstream: address => find(instanceRegistryName).hasAddress(address),
                isAccepting: address =>
                    find(instanceRegistryName).isAcceptingAt(address, settings.upstreamDrainMs * relayShare),
                connect: options.connectUpstream,
            }),
    });
};

/** Registers what keeps requests away from upstreams that their prompts crash. */
const registerQuarantine = (kernel: Kernel, { settings, platform, clock }: ServingNodeOptions): void => {
    kernel.register({
        name: crashQuarantineName,
        requires: [feedNames.quarantine, peerReportsName, membershipName, storeClockName],
        create: find =>
            new CrashQuarantine({
                reports: find(peerReportsName),
                records: new QuarantineRecords({
                    tables: platform.tables,
                    feed: find(feedNames.quarantine),
                    storeClock: find(storeClockName),
                    events: find(eventLogName),
                }),
                isTeller: () =>
                    isPoller({
                        membership: find(membershipName),
                        nodeId: settings.nodeId,
                        job: crashQuarantineName.id,
                        count: 1,
                    }),
                clock,
                events: find(eventLogName),
            }),
    });
};

/** Registers what tells at which software version a stream may go on. */
const registerOrigins = (kernel: Kernel, { settings, platform, clock }: ServingNodeOptions): void => {
    const { nodeId } = settings;
    const readKeptMs = (find: FindService): number =>
        Math.max(minKeptMs, (find(servingStateName).table.value?.longestStreamMs ?? 0) * streamTries);
    kernel.register({
        name: softwareVersionsName,
        requires: [feedNames.instances, servingStateName],
        create: find =>
            new SoftwareVersions({
                feed: find(feedNames.instances),
                clock,
                readWindowMs: () => readKeptMs(find),
            }),
    });
    kernel.register({
        name: versionRecordsName,
        requires: [softwareVersionsName, storeClockName, membershipName],
        create: find =>
            new VersionRecords({
                tables: platform.tables,
                versions: find(softwareVersionsName),
                storeClock: find(storeClockName),
                isWriter: () =>
                    isPoller({
                        membership: find(membershipName),
                        nodeId,
                        job: versionRecordsName.id,
                        count: 1,
                    }),
                clock,
                events: find(eventLogName),
            }),
    });
    kernel.register({
        name: soleVersionsName,
        requires: [
            feedNames.instances,
            softwareVersionsName,
            versionRecordsName,
            peerNetworkName,
            membershipName,
        ],
        create: find =>
            new SoleVersions({
                feed: find(feedNames.instances),
                versions: find(softwareVersionsName),
                records: find(versionRecordsName),
                network: find(peerNetworkName),
                listReaders: () =>
                    rankReaders({ feed: feedNames.instances.id, members: find(membershipName).listLive() })
                        .filter(reader => reader !== nodeId),
                clock,
            }),
    });
    kernel.register({
        name: streamOriginsName,
        requires: [peerNetworkName, membershipName, softwareVersionsName],
        create: find =>
            new StreamOrigins({
                nodeId,
                network: find(peerNetworkName),
                membership: find(membershipName),
                versions: find(softwareVersionsName),
                readKeptMs: () => readKeptMs(find),
                clock,
                events: find(eventLogName),
            }),
    });
};
