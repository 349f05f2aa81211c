import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { ServingState } from "../routes/ServingState";
import type { Membership } from "./Membership";
import type { Member } from "./types";

/** Options of {@link Readiness}. */
export interface ReadinessOptions {
    readonly nodeId: string;
    readonly membership: Membership;
    readonly state: ServingState;
    readonly reports: PeerReports;
}

const unseenMs = 20_000; // cuts between nodes last for seconds; a node that is back is live again
const readyTopic: ReportTopic<boolean> = { name: "ready", schema: z.boolean() };

/** Which nodes can take requests: live ones that have a configuration and can rely on its keys. */
export class Readiness {
    constructor(private readonly options: ReadinessOptions) {}

    async start(): Promise<void> {
        this.options.reports.exchange(readyTopic, () => this.isReady());
    }

    /** Whether this node can take requests. */
    isReady(): boolean {
        const { membership, state } = this.options;
        return membership.ownState === "live" && state.table.value !== undefined && state.isFresh();
    }

    /** Lists the members that can take requests, as last heard. */
    listReady(): Member[] {
        const { membership, reports, nodeId } = this.options;
        const unready = new Set(
            reports.listFresh(readyTopic).filter(report => !report.value).map(report => report.nodeId),
        );
        return membership.listLive().filter(member =>
            member.nodeId === nodeId ? this.isReady() : !unready.has(member.nodeId)
        );
    }

    /** Number of nodes that may take requests now, also those that this node may only have lost sight of. */
    countPresumedLive(): number {
        return Math.max(1, this.options.membership.countPresumedLive(unseenMs));
    }

    /** Number of live members, this node included. */
    countLive(): number {
        return Math.max(1, this.options.membership.listLive().length);
    }
}

/** Name of the readiness service. */
export const readinessName = createServiceName<Readiness>("readiness");
