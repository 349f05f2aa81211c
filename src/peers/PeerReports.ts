import { z } from "zod";
import { dropOldest } from "../_lib/dropOldest";
import { createServiceName } from "../kernel/createServiceName";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { PeerNetwork } from "./PeerNetwork";
import { selectRelayTargets } from "./selectRelayTargets";

/** Options of {@link PeerReports}. */
export interface PeerReportsOptions {
    /** Unique for each process; identifies the reports that it publishes. */
    readonly processId: string;
    readonly network: Pick<PeerNetwork, "linkedNodeIds" | "plan" | "onReport" | "sendReport">;
    readonly events: EventLog;
}

/** A kind of value that nodes report to each other. */
export interface ReportTopic<T> {
    readonly name: string;
    readonly schema: z.ZodType<T, z.ZodTypeDef, unknown>;
}

/** A report as it travels along the links. */
interface ReportEnvelope {
    readonly origin: string;
    /** Number of the report at its origin. */
    readonly sequence: number;
    readonly value?: unknown;
}

const envelopeSchema = z.object({ origin: z.string(), sequence: z.number(), value: z.unknown() });
const maxRemembered = 4_096; // a second copy arrives within a few hundred ms

/**
 * Reports of single events to all members, passed on along the links. A report may be lost or overtaken by a later one;
 * one that arrives on several ways is delivered once.
 */
export class PeerReports {
    /** Origin and sequence of the latest reports. */
    private readonly received = new Set<string>();
    private lastSequence = 0;

    constructor(private readonly options: PeerReportsOptions) {}

    /**
     * Sends a report to all members now.
     *
     * @param topic - name and schema of the value
     * @param value - the value
     */
    publish<T>(topic: ReportTopic<T>, value: T): void {
        this.lastSequence += 1;
        this.send(
            topic.name,
            { origin: this.options.processId, sequence: this.lastSequence, value },
            undefined,
        );
    }

    /**
     * Registers the listener for the members' reports on a topic; replaces an earlier one.
     *
     * @param topic - name and schema of the value
     * @param onReceived - called for each valid report, with the member that sent or passed it on
     */
    listen<T>(topic: ReportTopic<T>, onReceived: (value: T, fromNode: string) => void): void {
        this.options.network.onReport(topic.name, (nodeId, payload) => {
            const envelope = envelopeSchema.safeParse(payload).data;
            if (envelope && !this.isNew(envelope)) {
                return;
            }
            const value = topic.schema.safeParse(envelope?.value);
            if (!envelope || !value.success) {
                this.options.events.emit(eventKinds.peerRejected, { reason: "invalid report", peer: nodeId });
                return;
            }
            this.send(topic.name, envelope, nodeId);
            onReceived(value.data, nodeId);
        });
    }

    private isNew({ origin, sequence }: ReportEnvelope): boolean {
        const key = `${sequence} ${origin}`;
        if (this.received.has(key)) {
            return false;
        }
        this.received.add(key);
        dropOldest(this.received, maxRemembered);
        return true;
    }

    private send(topic: string, envelope: ReportEnvelope, source: string | undefined): void {
        const { network } = this.options;
        const targets = selectRelayTargets({ plan: network.plan, linked: network.linkedNodeIds, source });
        network.sendReport(targets, topic, envelope);
    }
}

/** Name of the peer reports service. */
export const peerReportsName = createServiceName<PeerReports>("peer-reports");
