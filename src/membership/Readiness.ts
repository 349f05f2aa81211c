import { createServiceName } from "../kernel/createServiceName";
import type { ServingState } from "../routes/ServingState";
import type { ClusterSums } from "../sums/ClusterSums";
import type { Membership } from "./Membership";
import type { Member } from "./types";

/** Options of {@link Readiness}. */
export interface ReadinessOptions {
    readonly nodeId: string;
    readonly membership: Membership;
    readonly state: ServingState;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers">;
}

const presumedLiveMs = 20_000; // network partitions last for seconds; afterwards the nodes see each other as live again
/** Group of counters with the names of the nodes that are not ready. */
const unreadyGroup = "unready";

/**
 * Readiness of the nodes. A node is ready when it is live, has a configuration, and its API keys have been confirmed
 * recently enough to rely on them.
 */
export class Readiness {
    constructor(private readonly options: ReadinessOptions) {}

    async start(): Promise<void> {
        const { sums, nodeId } = this.options;
        sums.registerContributor(unreadyGroup, () => new Map(this.isReady() ? [] : [[nodeId, 1]]));
    }

    /** Whether this node is ready for requests. */
    isReady(): boolean {
        const { membership, state } = this.options;
        return membership.ownState === "live" && state.table.value !== undefined && state.isFresh();
    }

    /** Lists the live members that are ready. A member that has not reported its readiness lately counts as ready. */
    listReady(): Member[] {
        const { membership, sums, nodeId } = this.options;
        const unready = sums.readOthers(unreadyGroup);
        return membership.listLive().filter(member =>
            member.nodeId === nodeId ? this.isReady() : !unready.has(member.nodeId)
        );
    }

    /** Counts the live members and those that may only be unreachable from this node; at least 1. */
    countPresumedLive(): number {
        return Math.max(1, this.options.membership.countPresumedLive(presumedLiveMs));
    }

    /** Counts the live members; at least 1. */
    countLive(): number {
        return Math.max(1, this.options.membership.listLive().length);
    }
}

/** Name of the readiness service. */
export const readinessName = createServiceName<Readiness>("readiness");
