import { CallerServer, callerServerName } from "../callers/CallerServer";
import {
    ReplicatedConfiguration,
    replicatedConfigurationName,
} from "../configuration/ReplicatedConfiguration";
import { ConfigurationStore } from "../configuration/ConfigurationStore";
import { CheapestFleetPolicy } from "../fleet/CheapestFleetPolicy";
import { FleetManager, fleetManagerName } from "../fleet/FleetManager";
import { GroupCommitter } from "../idempotency/GroupCommitter";
import { PlainCalls, plainCallsName } from "../idempotency/PlainCalls";
import { RecordExpiry, recordExpiryName } from "../idempotency/RecordExpiry";
import { SendRecords, sendRecordsName } from "../idempotency/SendRecords";
import { createServiceName } from "../kernel/createServiceName";
import type { Kernel } from "../kernel/Kernel";
import { CloudPoller, cloudPollerName } from "../membership/CloudPoller";
import { isPoller } from "../membership/isPoller";
import { Membership, membershipName } from "../membership/Membership";
import { GossipMap, gossipMapName } from "../peers/GossipMap";
import { PeerNetwork, peerNetworkName } from "../peers/PeerNetwork";
import { EntryReclaim, entryReclaimName } from "../reclaim/EntryReclaim";
import { UpstreamReclaim, upstreamReclaimName } from "../reclaim/UpstreamReclaim";
import { PlannedStop, plannedStopName } from "../stopping/PlannedStop";
import { ChatRequests, chatRequestsName } from "../streams/ChatRequests";
import { KeptRequests, keptRequestsName } from "../streams/KeptRequests";
import { RequestLocator, requestLocatorName } from "../streams/RequestLocator";
import { ServiceDispatchers, serviceDispatchersName } from "../streams/ServiceDispatchers";
import { StreamMemory } from "../streams/StreamMemory";
import { EventLog, eventLogName } from "../telemetry/EventLog";
import { Invariants } from "../telemetry/Invariants";
import { EntryMetrics, entryMetricsName } from "../telemetry/EntryMetrics";
import { UpstreamRegistry, upstreamRegistryName } from "../upstreams/UpstreamRegistry";
import { clockName } from "./clockName";
import { createDutyLease, dutyCallTimeoutMs } from "./createDutyLease";
import type { EntryNodeOptions } from "./types";

/** Name of the invariants service. */
export const invariantsName = createServiceName<Invariants>("invariants");
/** Name of the configuration store. */
export const configurationStoreName = createServiceName<ConfigurationStore>("configuration-store");
/** Name of the group committer. */
export const groupCommitterName = createServiceName<GroupCommitter>("group-committer");
/** Name of the stream memory. */
export const streamMemoryName = createServiceName<StreamMemory>("stream-memory");

const goneAfterLinkTimeouts = 2; // a member is marked gone when its link has been lost for this many link time-outs

/**
 * Registers the services of an entry node with their dependencies.
 *
 * @param kernel - the node's kernel
 * @param options - settings and adapters
 */
export const registerEntryServices = (kernel: Kernel, options: EntryNodeOptions): void => {
    registerTelemetry(kernel, options);
    registerCluster(kernel, options);
    registerStores(kernel, options);
    registerRouting(kernel, options);
    registerRequests(kernel, options);
    registerExpiry(kernel, options);
    if (options.settings.fleet.enabled) {
        registerFleet(kernel, options);
    }
};

const registerTelemetry = (
    kernel: Kernel,
    { settings, clock, logger, onBrokenInvariant }: EntryNodeOptions,
): void => {
    kernel.register({ name: clockName, requires: [], create: () => clock });
    kernel.register({
        name: eventLogName,
        requires: [],
        create: () => new EventLog({ node: settings.nodeId, clock, logger }),
    });
    kernel.register({
        name: invariantsName,
        requires: [eventLogName],
        create: find => new Invariants({ events: find(eventLogName), onBroken: onBrokenInvariant }),
    });
    kernel.register({ name: entryMetricsName, requires: [], create: () => new EntryMetrics() });
    kernel.register({
        name: callerServerName,
        requires: [],
        create: () => {
            const server = new CallerServer({
                ...settings.callers,
                maxHeaderBytes: settings.limits.maxHeaderBytes,
                maxConnections: settings.limits.maxConnections,
            });
            return Object.assign(server, { start: () => server.listen(), stop: () => server.close() });
        },
    });
};

const registerCluster = (kernel: Kernel, { settings, platform, clock, random }: EntryNodeOptions): void => {
    const { timing } = settings;
    kernel.register({
        name: gossipMapName,
        requires: [eventLogName],
        create: find =>
            new GossipMap({ nodeId: settings.nodeId, hybridClock: find(eventLogName).hybridClock }),
    });
    kernel.register({
        name: peerNetworkName,
        requires: [eventLogName, gossipMapName],
        create: find =>
            new PeerNetwork({
                nodeId: settings.nodeId,
                dataCentre: settings.dataCentre,
                readClusterKey: () => settings.clusterKey,
                host: settings.peers.host,
                port: settings.peers.port,
                heartbeatMs: timing.heartbeatMs,
                linkTimeoutMs: timing.silenceMs,
                maxFrameBytes: settings.limits.maxPeerFrameBytes,
                clock,
                random,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                readRevision: () =>
                    kernel.isStarted(replicatedConfigurationName)
                        ? find(replicatedConfigurationName).revision
                        : 0,
            }),
    });
    kernel.register({
        name: membershipName,
        requires: [peerNetworkName, gossipMapName, callerServerName],
        create: find =>
            new Membership({
                self: {
                    nodeId: settings.nodeId,
                    dataCentre: settings.dataCentre,
                    callersUrl: `http://${settings.callers.host}:${find(callerServerName).port}`,
                    peersUrl: `ws://${settings.peers.host}:${find(peerNetworkName).port}`,
                    incarnation: clock.readWallMs(),
                },
                clock,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                network: find(peerNetworkName),
                heartbeatMs: timing.heartbeatMs,
                goneAfterMs: timing.silenceMs * goneAfterLinkTimeouts,
            }),
    });
    kernel.register({
        name: cloudPollerName,
        requires: [membershipName],
        create: find =>
            new CloudPoller({
                nodeId: settings.nodeId,
                cloud: platform.cloud,
                clock,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                membership: find(membershipName),
                pollMs: timing.vmListPollMs,
            }),
    });
};

const registerStores = (kernel: Kernel, { settings, platform, clock, random }: EntryNodeOptions): void => {
    kernel.register({
        name: configurationStoreName,
        requires: [],
        create: () => new ConfigurationStore({ tables: platform.tables, clock }),
    });
    kernel.register({
        name: replicatedConfigurationName,
        requires: [configurationStoreName, membershipName, peerNetworkName, invariantsName],
        create: find =>
            new ReplicatedConfiguration({
                nodeId: settings.nodeId,
                store: find(configurationStoreName),
                clock,
                events: find(eventLogName),
                invariants: find(invariantsName),
                network: find(peerNetworkName),
                membership: find(membershipName),
                pollMs: settings.timing.configurationPollMs,
                isolationMs: settings.timing.isolationMs,
            }),
    });
    kernel.register({
        name: groupCommitterName,
        requires: [],
        create: () => new GroupCommitter({ tables: platform.tables, clock }),
    });
    kernel.register({
        name: sendRecordsName,
        requires: [groupCommitterName, invariantsName, eventLogName],
        create: find =>
            new SendRecords({
                nodeId: settings.nodeId,
                tables: platform.tables,
                committer: find(groupCommitterName),
                clock,
                random,
                events: find(eventLogName),
                invariants: find(invariantsName),
            }),
    });
};

const registerRouting = (kernel: Kernel, { settings, platform, clock, random }: EntryNodeOptions): void => {
    const { limits, timing } = settings;
    kernel.register({
        name: upstreamRegistryName,
        requires: [cloudPollerName, replicatedConfigurationName],
        create: find => {
            const configuration = find(replicatedConfigurationName);
            const registry = new UpstreamRegistry({
                nodeId: settings.nodeId,
                clock,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                clients: platform.upstreams,
                readServiceKind: service =>
                    configuration.current.value?.declaration.services
                        .find(candidate => candidate.name === service)?.kind,
                loadPollMs: timing.loadPollMs,
                countMembers: () => Math.max(1, find(membershipName).listLive().length),
            });
            configuration.current.changes.observe(() => registry.refresh()).catch(() => {});
            return registry;
        },
    });
    kernel.register({
        name: serviceDispatchersName,
        requires: [upstreamRegistryName],
        create: find =>
            new ServiceDispatchers({
                clock,
                random,
                registry: find(upstreamRegistryName),
                maxQueuedRequests: limits.maxQueuedRequests,
                maxQueuedBytes: limits.maxQueuedBytes,
            }),
    });
    kernel.register({ name: plannedStopName, requires: [], create: () => new PlannedStop({ clock }) });
    kernel.register({
        name: plainCallsName,
        requires: [upstreamRegistryName, sendRecordsName, peerNetworkName, plannedStopName],
        create: find =>
            new PlainCalls({
                nodeId: settings.nodeId,
                plannedStop: find(plannedStopName),
                clock,
                random,
                events: find(eventLogName),
                network: find(peerNetworkName),
                registry: find(upstreamRegistryName),
                records: find(sendRecordsName),
            }),
    });
    kernel.register({
        name: streamMemoryName,
        requires: [],
        create: () => new StreamMemory(limits.maxStreamBytes),
    });
};

const registerExpiry = (kernel: Kernel, { settings, platform, clock, random }: EntryNodeOptions): void => {
    kernel.register({
        name: recordExpiryName,
        requires: [groupCommitterName, membershipName],
        create: find =>
            new RecordExpiry({
                tables: platform.tables,
                committer: find(groupCommitterName),
                clock,
                events: find(eventLogName),
                lease: createDutyLease(kernel, "expiry", { settings, platform, clock, random }),
                retentionMs: settings.timing.answerRetentionMs,
            }),
    });
};

const registerRequests = (kernel: Kernel, { settings, platform, clock, random }: EntryNodeOptions): void => {
    const { nodeId } = settings;
    kernel.register({
        name: keptRequestsName,
        requires: [groupCommitterName, membershipName],
        create: find =>
            new KeptRequests({
                nodeId: settings.nodeId,
                tables: platform.tables,
                committer: find(groupCommitterName),
                clock,
                events: find(eventLogName),
                listPresentMembers: () =>
                    find(membershipName).members.value
                        .filter(member => member.state !== "gone")
                        .map(member => member.nodeId),
                isPoller: () => isPoller({ membership: find(membershipName), nodeId, job: "kept-requests" }),
                takeOver: snapshot => find(chatRequestsName).takeOver(snapshot),
            }),
    });
    kernel.register({
        name: chatRequestsName,
        requires: [keptRequestsName, serviceDispatchersName, streamMemoryName, entryMetricsName],
        create: find =>
            new ChatRequests({
                nodeId: settings.nodeId,
                clock,
                random,
                events: find(eventLogName),
                invariants: find(invariantsName),
                metrics: find(entryMetricsName),
                memory: find(streamMemoryName),
                configuration: find(replicatedConfigurationName),
                registry: find(upstreamRegistryName),
                dispatchers: find(serviceDispatchersName),
                keptRequests: find(keptRequestsName),
                streamSilenceMs: settings.timing.streamSilenceMs,
                resumeWindowMs: settings.timing.resumeWindowMs,
            }),
    });
    kernel.register({
        name: requestLocatorName,
        requires: [chatRequestsName, peerNetworkName, membershipName],
        create: find =>
            new RequestLocator({
                nodeId: settings.nodeId,
                network: find(peerNetworkName),
                membership: find(membershipName),
                chatRequests: find(chatRequestsName),
            }),
    });
    kernel.register({
        name: upstreamReclaimName,
        requires: [chatRequestsName, upstreamRegistryName],
        create: find =>
            new UpstreamReclaim({
                clock,
                events: find(eventLogName),
                registry: find(upstreamRegistryName),
                chatRequests: find(chatRequestsName),
            }),
    });
    kernel.register({
        name: entryReclaimName,
        requires: [requestLocatorName, cloudPollerName],
        create: find =>
            new EntryReclaim({
                nodeId: settings.nodeId,
                dataCentre: settings.dataCentre,
                clock,
                random,
                events: find(eventLogName),
                invariants: find(invariantsName),
                gossip: find(gossipMapName),
                network: find(peerNetworkName),
                membership: find(membershipName),
                objects: platform.objects,
                chatRequests: find(chatRequestsName),
                locator: find(requestLocatorName),
                isPoller: () =>
                    isPoller({ membership: find(membershipName), nodeId, job: "hand-over", count: 1 }),
            }),
    });
};

const registerFleet = (kernel: Kernel, { settings, platform, clock, random }: EntryNodeOptions): void => {
    kernel.register({
        name: fleetManagerName,
        requires: [serviceDispatchersName, replicatedConfigurationName],
        create: find => {
            return new FleetManager({
                nodeId: settings.nodeId,
                clock,
                events: find(eventLogName),
                gossip: find(gossipMapName),
                registry: find(upstreamRegistryName),
                cloud: platform.cloud,
                weights: platform.weights,
                lease: createDutyLease(kernel, "fleet", { settings, platform, clock, random }),
                policy: new CheapestFleetPolicy(),
                readDeclaration: () => find(replicatedConfigurationName).current.value?.declaration,
                readQueueSizes: () => find(serviceDispatchersName).readQueueSizes(),
                minVms: settings.fleet.minRunners,
                callTimeoutMs: dutyCallTimeoutMs,
            });
        },
    });
};
