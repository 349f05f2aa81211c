import { forwardServerName } from "../forwarding/ForwardServer";
import type { FindService } from "../kernel/types";
import { membershipName } from "../membership/Membership";
import { instanceRegistryName } from "../placement/InstanceRegistry";
import { servingStateName } from "../routes/ServingState";
import { crashQuarantineName } from "../quarantine/CrashQuarantine";
import { tunnelServerName } from "../tunnels/TunnelServer";
import { addGauge, type GaugeValue } from "../telemetry/addGauge";
import { peerNetworkName } from "../peers/PeerNetwork";
import { clusterSumsName } from "../sums/ClusterSums";
import { forwardMetricsName } from "../telemetry/ForwardMetrics";

const msPerSecond = 1_000;

/**
 * Registers the gauges of a forwarding node. They are read from its services when metrics are collected.
 *
 * @param find - finds the node's services
 */
export const registerForwardGauges = (find: FindService): void => {
    const { registry } = find(forwardMetricsName);
    const state = find(servingStateName);
    const instances = find(instanceRegistryName);
    const addValue = (name: string, help: string, read: () => number): void =>
        addGauge({ registry, name, help, read: () => [{ value: read() }] });
    const addByService = (name: string, help: string, read: (service: string) => number): void =>
        addGauge({
            registry,
            name,
            help,
            labelNames: ["service"],
            read: () => listServices().map(service => ({ labels: { service }, value: read(service) })),
        });
    const listServices = (): string[] =>
        state.table.value?.configuration.services.map(({ name }) => name) ?? [];
    const readVersion = (): GaugeValue[] => {
        const version = state.table.value?.configuration.version;
        return version === undefined ? [] : [{ value: version }];
    };
    addGauge({
        registry,
        name: "sequoiagrade_configuration_version",
        help: "Version in force; missing before the first one is read.",
        read: readVersion,
    });
    addValue(
        "sequoiagrade_configuration_age_seconds",
        "Time since the store confirmed the configuration; infinite when it is not known.",
        () => state.readAgeMs() / msPerSecond,
    );
    addValue(
        "sequoiagrade_members_live",
        "Members that take requests.",
        () => find(membershipName).listLive().length,
    );
    addValue(
        "sequoiagrade_open_exchanges",
        "Requests in progress.",
        () => find(forwardServerName).openExchanges,
    );
    registerCallerGauges(find, addValue);
    addValue("sequoiagrade_resident_bytes", "Memory of the process.", () => process.memoryUsage.rss());
    addValue(
        "sequoiagrade_quarantined_parts",
        "Requests, and prompt parts, that are refused because upstreams crash under them.",
        () => find(crashQuarantineName).size,
    );
    addValue(
        "sequoiagrade_tunnels_open",
        "Connections to upstreams that this node passes on for other members.",
        () => find(tunnelServerName).size,
    );
    registerControlGauges(find, addValue);
    addGauge({
        registry,
        name: "sequoiagrade_peer_kind_bytes_sent",
        help: "Bytes sent to other nodes, by kind of message.",
        labelNames: ["kind"],
        read: () =>
            [...find(peerNetworkName).counters.bytesSentByKind].map(([kind, value]) => ({
                labels: { kind },
                value,
            })),
    });
    addByService(
        "sequoiagrade_upstreams_usable",
        "Upstreams that may get a request now.",
        service => instances.listUsable(service).length,
    );
    addByService(
        "sequoiagrade_upstreams_relayed",
        "Upstreams to which connections are opened through other members.",
        service => instances.countRelayed(service),
    );
    addByService(
        "sequoiagrade_upstream_requests",
        "Requests of all nodes at the upstreams.",
        service => instances.countInFlight(service),
    );
};

/** Registers what tells how much callers make this node hold. */
const registerCallerGauges = (
    find: FindService,
    addValue: (name: string, help: string, read: () => number) => void,
): void => {
    const { heldBytes, connectionLimit } = find(forwardServerName);
    addValue("sequoiagrade_held_bytes", "Bytes held for callers' requests.", () => heldBytes.used);
    addValue(
        "sequoiagrade_held_waiting",
        "Requests that wait, unread, for memory.",
        () => heldBytes.waitingCount,
    );
    addValue(
        "sequoiagrade_held_refused_total",
        "Requests refused since there was no memory for them.",
        () => heldBytes.counts.refused,
    );
    addValue(
        "sequoiagrade_held_given_up_total",
        "Requests given up since they stood still while others needed the memory.",
        () => heldBytes.counts.givenUp,
    );
    addValue(
        "sequoiagrade_caller_connections",
        "Open connections of callers.",
        () => connectionLimit?.openCount ?? 0,
    );
    addValue(
        "sequoiagrade_caller_connections_closed_total",
        "Connections of callers that were closed at their limit.",
        () => connectionLimit?.closedCount ?? 0,
    );
};

/** Registers what tells how this node is linked to the others, and what it knows of them. */
const registerControlGauges = (
    find: FindService,
    addValue: (name: string, help: string, read: () => number) => void,
): void => {
    const network = find(peerNetworkName);
    const sums = find(clusterSumsName);
    addValue("sequoiagrade_peer_links", "Links to other nodes.", () => network.linkedNodeIds.length);
    addValue(
        "sequoiagrade_aggregator",
        "1 while this node adds up for its data centre, else 0.",
        () => Number(network.plan.isAggregator),
    );
    addValue(
        "sequoiagrade_peer_frames_sent",
        "Frames sent to other nodes.",
        () => network.counters.messagesSent,
    );
    addValue("sequoiagrade_peer_bytes_sent", "Bytes sent to other nodes.", () => network.counters.bytesSent);
    addValue("sequoiagrade_summed_nodes", "Other nodes that the sums include.", () => sums.countCovered());
    addValue(
        "sequoiagrade_sums_age_seconds",
        "Mean age of the other nodes' contributions to the sums.",
        () => sums.readAgeMs() / msPerSecond,
    );
};
