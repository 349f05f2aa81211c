import { collectDefaultMetrics } from "prom-client";
import { replicatedConfigurationName } from "../configuration/ReplicatedConfiguration";
import { plainCallsName } from "../idempotency/PlainCalls";
import type { FindService } from "../kernel/types";
import { membershipName } from "../membership/Membership";
import { peerNetworkName } from "../peers/PeerNetwork";
import { chatRequestsName } from "../streams/ChatRequests";
import { serviceDispatchersName } from "../streams/ServiceDispatchers";
import { addGauge, type GaugeValue } from "../telemetry/addGauge";
import { entryMetricsName } from "../telemetry/EntryMetrics";
import { clockName } from "./clockName";
import { groupCommitterName, invariantsName, streamMemoryName } from "./registerEntryServices";

/**
 * Registers the gauges of an entry node. They are read from its services when metrics are collected.
 *
 * @param find - finds the node's services
 */
export const registerEntryGauges = (find: FindService): void => {
    const { registry } = find(entryMetricsName);
    collectDefaultMetrics({ register: registry });
    const addValue = (name: string, help: string, read: () => number): void =>
        addGauge({ registry, name, help, read: () => [{ value: read() }] });
    const addByLabel = (name: string, help: string, label: string, read: () => GaugeValue[]): void =>
        addGauge({ registry, name, help, labelNames: [label], read });
    addValue(
        "sequoiagrade_configuration_revision",
        "Revision in force.",
        () => find(replicatedConfigurationName).revision,
    );
    addValue(
        "sequoiagrade_members_live",
        "Members that take new work.",
        () => find(membershipName).listLive().length,
    );
    addValue("sequoiagrade_stream_bytes", "Memory held by answers.", () => find(streamMemoryName).usedBytes);
    addValue(
        "sequoiagrade_calls_in_flight",
        "Calls to plain services.",
        () => find(plainCallsName).inFlightCount,
    );
    addValue("sequoiagrade_broken_invariants", "Failed assertions.", () => find(invariantsName).brokenCount);
    addValue(
        "sequoiagrade_table_transactions",
        "Group commits sent.",
        () => find(groupCommitterName).transactionCount,
    );
    addValue(
        "sequoiagrade_peer_sent_bytes",
        "Bytes sent to members.",
        () => find(peerNetworkName).counters.bytesSent,
    );
    addByLabel(
        "sequoiagrade_queued_requests",
        "Requests that wait for a runner.",
        "service",
        () =>
            [...find(serviceDispatchersName).readQueueSizes()].map(([service, value]) => ({
                labels: { service },
                value,
            })),
    );
    addByLabel(
        "sequoiagrade_requests_in_progress",
        "Model requests in progress.",
        "class",
        () => countByClass(find, () => true),
    );
    addByLabel("sequoiagrade_requests_overdue", "Model requests past their target.", "class", () => {
        const nowMs = find(clockName).readWallMs();
        return countByClass(find, (acceptedAtMs, wholeMs) => nowMs - acceptedAtMs > wholeMs);
    });
};

const countByClass = (
    find: FindService,
    matches: (acceptedAtMs: number, wholeMs: number) => boolean,
): { labels: { class: string; }; value: number; }[] => {
    const classes = find(replicatedConfigurationName).current.value?.declaration.classes ?? [];
    const counts = new Map(classes.map(workClass => [workClass.name, 0]));
    for (const { description } of find(chatRequestsName).listInProgress()) {
        if (matches(description.acceptedAtMs, description.workClass.latency.wholeMs)) {
            counts.set(description.workClass.name, (counts.get(description.workClass.name) ?? 0) + 1);
        }
    }
    return [...counts].map(([name, value]) => ({ labels: { class: name }, value }));
};
