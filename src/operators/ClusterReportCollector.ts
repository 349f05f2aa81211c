import type { ReplicatedConfiguration } from "../configuration/ReplicatedConfiguration";
import type { Clock } from "../kernel/types";
import type { Membership } from "../membership/Membership";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { ChatRequests } from "../streams/ChatRequests";
import type { ServiceDispatchers } from "../streams/ServiceDispatchers";
import { compareHybridTimes } from "../telemetry/compareHybridTimes";
import type { EventFilter, EventLog } from "../telemetry/EventLog";
import type { Invariants } from "../telemetry/Invariants";
import type { EventRecord } from "../telemetry/types";
import type { UpstreamRegistry } from "../upstreams/UpstreamRegistry";
import type { ClassReport, ClusterReport, ClusterStatus, NodeReport, NodeStatus } from "./types";

/** Options of {@link ClusterReportCollector}. */
export interface ClusterReportCollectorOptions {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly invariants: Invariants;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly configuration: ReplicatedConfiguration;
    readonly registry: UpstreamRegistry;
    readonly chatRequests: ChatRequests;
    readonly dispatchers: ServiceDispatchers;
}

const statusMethod = "operators.status";
const reportMethod = "operators.report";
const eventsMethod = "operators.events";
const collectTimeoutMs = 2_000;

/** Collects status, reports and events from all members for operators, and answers the same calls of other members. */
export class ClusterReportCollector {
    constructor(private readonly options: ClusterReportCollectorOptions) {
        const { network } = options;
        network.registerHandler(statusMethod, async () => this.readStatus());
        network.registerHandler(reportMethod, async () => this.readReport());
        network.registerHandler(eventsMethod, async payload => options.events.list(payload as EventFilter));
    }

    /** Collects the status of all members. */
    async collectStatus(): Promise<ClusterStatus> {
        const { answers, unreachable } = await this.collect<NodeStatus>(
            statusMethod,
            {},
            () => this.readStatus(),
        );
        return {
            revision: this.options.configuration.revision,
            members: [...this.options.membership.members.value],
            nodes: answers,
            unreachable,
        };
    }

    /** Collects the request counts of all members, and requests in progress and overdue by work class. */
    async collectReport(): Promise<ClusterReport> {
        const { answers, unreachable } = await this.collect<NodeReport>(
            reportMethod,
            {},
            () => this.readReport(),
        );
        return { classes: mergeClassReports(answers), nodes: answers, unreachable };
    }

    /**
     * Collects the events of all members.
     *
     * @param filter - which events
     * @returns the events from the earliest to the latest, and the ids of the members that did not answer
     */
    async collectEvents(
        filter: EventFilter,
    ): Promise<{ events: EventRecord[]; unreachable: readonly string[]; }> {
        const { answers, unreachable } = await this.collect<EventRecord[]>(
            eventsMethod,
            filter,
            () => this.options.events.list(filter),
        );
        const events = answers.flat();
        events.sort((a, b) => compareHybridTimes(a.time, b.time) || (a.node < b.node ? -1 : 1));
        return { events, unreachable };
    }

    /** Calls a method on every other member that is not gone, and adds the answer of this node. */
    private async collect<T>(
        method: string,
        payload: unknown,
        readLocal: () => T,
    ): Promise<{ answers: T[]; unreachable: string[]; }> {
        const unreachable: string[] = [];
        const others = this.options.membership.members.value
            .filter(member => member.state !== "gone" && member.nodeId !== this.options.nodeId);
        const answers = await Promise.all(others.map(async member => {
            try {
                return await this.options.network.call(member.nodeId, method, payload, collectTimeoutMs) as T;
            }
            catch {
                unreachable.push(member.nodeId);
                return undefined;
            }
        }));
        const received = answers.filter(answer => answer !== undefined) as T[];
        return { answers: [readLocal(), ...received], unreachable };
    }

    private readStatus(): NodeStatus {
        const services = this.options.configuration.current.value?.declaration.services ?? [];
        return {
            nodeId: this.options.nodeId,
            state: this.options.membership.ownState,
            revision: this.options.configuration.revision,
            current: this.options.configuration.isCurrent(),
            links: this.options.network.linkedNodeIds.length,
            runners: services.flatMap(service =>
                this.options.registry.listRunners(service.name).map(runner => ({
                    id: runner.id,
                    service: service.name,
                    dataCentre: runner.vm.dataCentre,
                    leaving: runner.isLeaving,
                    load: runner.estimatedLoad,
                    slots: runner.slots,
                    share: this.options.registry.ejections.computeTrafficShare(runner.id),
                }))
            ),
            queued: Object.fromEntries(this.options.dispatchers.readQueueSizes()),
            brokenInvariants: this.options.invariants.brokenCount,
        };
    }

    private readReport(): NodeReport {
        const classes = this.options.configuration.current.value?.declaration.classes ?? [];
        const records = this.options.chatRequests.listInProgress();
        const nowMs = this.options.clock.readWallMs();
        return {
            nodeId: this.options.nodeId,
            balance: this.options.chatRequests.readBalance(),
            classes: classes.map(workClass => {
                const classRecords = records.filter(record =>
                    record.description.workClass.name === workClass.name
                );
                const ages = classRecords.map(record => nowMs - record.description.acceptedAtMs);
                return {
                    name: workClass.name,
                    inProgress: classRecords.length,
                    overdue: ages.filter(ageMs => ageMs > workClass.latency.wholeMs).length,
                    oldestMs: Math.max(0, ...ages),
                };
            }),
        };
    }
}

const mergeClassReports = (reports: readonly NodeReport[]): ClassReport[] => {
    const merged = new Map<string, ClassReport>();
    for (const report of reports.flatMap(node => node.classes)) {
        const total = merged.get(report.name)
            ?? { name: report.name, inProgress: 0, overdue: 0, oldestMs: 0 };
        merged.set(report.name, {
            name: report.name,
            inProgress: total.inProgress + report.inProgress,
            overdue: total.overdue + report.overdue,
            oldestMs: Math.max(total.oldestMs, report.oldestMs),
        });
    }
    return [...merged.values()];
};
