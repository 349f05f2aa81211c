import { ObservableValue } from "../_lib/ObservableValue";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { GossipMap } from "../peers/GossipMap";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { PeerAddress } from "../peers/types";
import type { Vm } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Member, MemberState } from "./types";

/** Options of {@link Membership}. */
export interface MembershipOptions {
    readonly self: Omit<Member, "state">;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly gossip: GossipMap;
    readonly network: PeerNetwork;
    readonly heartbeatMs: number;
    /** A member is marked gone when its link has been lost for this long and it does not answer a ping. */
    readonly goneAfterMs: number;
}

const memberPrefix = "member/";
const vmPrefix = "vm/";
const pingHeartbeats = 3; // a member short of processor time answers late
const refreshDelayMs = 20; // when many members change at once, they are applied together
const pingMethod = "membership.ping";

/**
 * Cluster membership with failure detection after SWIM (Das et al. 2002). Each member announces itself in the gossip
 * map. A member that can no longer be reached is marked gone by the member that lost the link to it; if it is alive, it
 * refutes this by announcing itself again.
 */
export class Membership {
    /** All known members, gone ones included. */
    readonly members = new ObservableValue<readonly Member[]>([]);
    private readonly scope: TaskScope;
    /** Monotonic time at which the link to each unreachable member was lost, in milliseconds. */
    private readonly lostSinceMs = new Map<string, number>();
    private state: MemberState = "live";
    private isRefreshScheduled = false;
    private isStopped = false;
    private recordedNodes: ReadonlyMap<string, PeerAddress> = new Map();
    /**
     * Members that do not answer while this node has no link at all, so that it may be the one that is cut off, with
     * their incarnations.
     */
    private readonly suspected = new Map<string, number>();
    /** Monotonic time at which this node first saw each gone member as gone, in milliseconds. */
    private readonly goneSinceMs = new Map<string, number>();
    /** Monotonic time at which this node first saw the record of each node that was never live here, in milliseconds. */
    private readonly unheardSinceMs = new Map<string, number>();

    constructor(private readonly options: MembershipOptions) {
        this.scope = createLoggedTaskScope(options.events);
        options.network.registerHandler(pingMethod, async () => ({ nodeId: options.self.nodeId }));
        options.network.onLinkLost(nodeId => {
            if (!this.lostSinceMs.has(nodeId)) {
                this.lostSinceMs.set(nodeId, options.clock.readMonotonicMs());
            }
        });
        options.network.onHeartbeat(nodeId => this.lostSinceMs.delete(nodeId));
        options.network.onLinkUp(nodeId => this.clearSuspicions(nodeId));
    }

    /** Announces this node and starts failure detection. */
    async start(): Promise<void> {
        this.options.gossip.latestChange.changes.observe(() => this.scheduleRefresh()).catch(() => {});
        this.announce();
        this.refresh();
        this.scope.run("member-watch", signal => this.checkLostMembers(signal));
    }

    async stop(): Promise<void> {
        this.isStopped = true;
        await this.scope.cancel();
    }

    /** This node's own state. */
    get ownState(): MemberState {
        return this.state;
    }

    /** Lists the members that accept new work, this node included unless it is leaving. */
    listLive(): Member[] {
        return this.members.value.filter(member => member.state === "live");
    }

    /**
     * Counts the live members, those that became gone only recently, and nodes that were recorded recently and have not been
     * heard: these may be alive on the other side of a network partition and still accept requests.
     *
     * @param withinMs - a node that is not live counts for this time, in milliseconds
     */
    countPresumedLive(withinMs: number): number {
        const oldestMs = this.options.clock.readMonotonicMs() - withinMs;
        const recentlyGone = this.members.value.filter(member =>
            member.state === "gone" && (this.goneSinceMs.get(member.nodeId) ?? -Infinity) >= oldestMs
        );
        const unheard = [...this.unheardSinceMs.values()].filter(sinceMs => sinceMs >= oldestMs);
        return this.listLive().length + recentlyGone.length + unheard.length;
    }

    /** Finds a member by name. */
    find(nodeId: string): Member | undefined {
        return this.members.value.find(member => member.nodeId === nodeId);
    }

    /**
     * Sets the nodes that are recorded in the store. Those that are no members are dialled in turn, as a recorded node may
     * not exist.
     *
     * @param addresses - names and web-socket URLs of the nodes
     */
    setRecordedNodes(addresses: readonly PeerAddress[]): void {
        this.recordedNodes = new Map(addresses.map(node => [node.nodeId, node]));
        this.options.network.setRecorded(addresses);
        this.refresh();
    }

    /** Announces that this node is shutting down and accepts no new work. */
    announceLeaving(): void {
        this.state = "leaving";
        this.announce();
    }

    /** Announces that this node is gone; its last announcement before it stops. */
    announceGone(): void {
        this.state = "gone";
        this.announce();
    }

    private scheduleRefresh(): void {
        if (!this.isRefreshScheduled) {
            this.isRefreshScheduled = true;
            void this.options.clock.sleep(refreshDelayMs).then(() => {
                this.isRefreshScheduled = false;
                if (!this.isStopped) {
                    this.refresh();
                }
            });
        }
    }

    private announce(): void {
        const self: Member = { ...this.options.self, state: this.state };
        this.options.gossip.set(`${memberPrefix}${self.nodeId}`, self);
    }

    private refresh(): void {
        const announced = this.options.gossip.listValues<Member>(memberPrefix).map(member =>
            this.suspected.get(member.nodeId) === member.incarnation
                ? { ...member, state: "gone" as const }
                : member
        );
        const own = announced.find(member => member.nodeId === this.options.self.nodeId);
        // Refutes an entry about this node that another member, or an earlier process of this node, has written.
        if (own && (own.state !== this.state || own.incarnation !== this.options.self.incarnation)) {
            this.announce();
            return;
        }
        this.reportChanges(announced);
        this.recordUnheard(announced);
        this.members.set(announced);
        const present = announced.filter(member => member.state !== "gone")
            .map(({ nodeId, peersUrl: url, dataCentre }) => ({ nodeId, url, dataCentre }));
        this.options.network.setMembers(present, this.listSought(announced));
    }

    /**
     * Lists the nodes that are dialled though they are no members: gone ones of which there is a record, and the nodes in
     * the cloud's VM list. One may have restarted at another address, or be reachable again after a network partition,
     * and possibly no other node dials it.
     */
    private listSought(announced: readonly Member[]): PeerAddress[] {
        const states = new Map(announced.map(member => [member.nodeId, member.state]));
        const entryVms = this.options.gossip.listValues<Vm>(vmPrefix)
            .filter(vm => vm.role === "entry")
            .map(vm => ({ nodeId: vm.service, url: vm.url, dataCentre: vm.dataCentre }));
        const gone = announced.flatMap(({ nodeId, state }) =>
            state === "gone" ? this.recordedNodes.get(nodeId) ?? [] : []
        );
        const isGoneOrUnheard = ({ nodeId }: PeerAddress): boolean =>
            (states.get(nodeId) ?? "gone") === "gone";
        return [...entryVms.filter(isGoneOrUnheard), ...gone];
    }

    /**
     * Clears the suspicions once there is a link. The process that linked may be a new one, whose announcement replaces
     * the suspected one within a heartbeat; otherwise its suspicion is cleared after that time.
     */
    private clearSuspicions(linkedNodeId: string): void {
        const incarnation = this.suspected.get(linkedNodeId);
        if (this.suspected.size === 0) {
            return;
        }
        this.suspected.clear();
        if (incarnation !== undefined) {
            this.suspected.set(linkedNodeId, incarnation);
            void this.options.clock.sleep(this.options.heartbeatMs).then(() =>
                this.clearSuspicion(linkedNodeId)
            );
        }
        this.refresh();
    }

    private clearSuspicion(nodeId: string): void {
        const isCleared = this.options.network.linkedNodeIds.includes(nodeId)
            && this.suspected.delete(nodeId);
        if (isCleared && !this.isStopped) {
            this.refresh();
        }
    }

    private reportChanges(announced: readonly Member[]): void {
        for (const member of announced) {
            const before = this.find(member.nodeId);
            if (member.state !== "gone") {
                this.goneSinceMs.delete(member.nodeId);
            }
            else if (before && before.state !== "gone") {
                this.goneSinceMs.set(member.nodeId, this.options.clock.readMonotonicMs());
            }
            if (before?.state !== member.state || before.incarnation !== member.incarnation) {
                this.options.events.emit(eventKinds.memberChanged, {
                    member: member.nodeId,
                    state: member.state,
                });
            }
        }
    }

    /** Records since when there are records of nodes that were never live here. */
    private recordUnheard(announced: readonly Member[]): void {
        const heard = new Set(
            announced.filter(({ nodeId, state }) => state !== "gone" || this.goneSinceMs.has(nodeId))
                .map(({ nodeId }) => nodeId),
        );
        for (const nodeId of this.unheardSinceMs.keys()) {
            if (heard.has(nodeId) || !this.recordedNodes.has(nodeId)) {
                this.unheardSinceMs.delete(nodeId);
            }
        }
        const nowMs = this.options.clock.readMonotonicMs();
        for (const nodeId of this.recordedNodes.keys()) {
            if (!heard.has(nodeId) && !this.unheardSinceMs.has(nodeId)) {
                this.unheardSinceMs.set(nodeId, nowMs);
            }
        }
    }

    /** Checks regularly for members whose link has been lost for too long, and verifies whether they are gone. */
    private *checkLostMembers(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.heartbeatMs, signal));
            // All at once: a data centre without power answers no ping, and each waits for its time-out.
            yield* waitFor(Promise.all(this.listOverdue().map(member => this.verifyGone(member))));
        }
    }

    /** Lists the members whose link has been lost for too long. */
    private listOverdue(): Member[] {
        const oldestMs = this.options.clock.readMonotonicMs() - this.options.goneAfterMs;
        const overdue: Member[] = [];
        for (const [nodeId, sinceMs] of [...this.lostSinceMs]) {
            const member = this.find(nodeId);
            if (!member || member.state === "gone") {
                this.lostSinceMs.delete(nodeId);
            }
            else if (sinceMs < oldestMs) {
                overdue.push(member);
            }
        }
        return overdue;
    }

    /** Pings a member and marks it gone if it does not answer, unless it has restarted meanwhile. */
    private async verifyGone(member: Member): Promise<void> {
        const { network, heartbeatMs } = this.options;
        try {
            await network.call(member.nodeId, pingMethod, {}, heartbeatMs * pingHeartbeats);
        }
        catch {
            const current = this.find(member.nodeId);
            if (current && current.incarnation === member.incarnation) {
                this.markGone(current);
            }
        }
        this.lostSinceMs.delete(member.nodeId);
    }

    /** Marks a member gone for all nodes; only for this one if it has no link, as it may be the one that is cut off. */
    private markGone(member: Member): void {
        if (this.options.network.linkedNodeIds.length > 0) {
            this.options.gossip.set(`${memberPrefix}${member.nodeId}`, { ...member, state: "gone" });
            return;
        }
        this.suspected.set(member.nodeId, member.incarnation);
        this.refresh();
    }
}

/** Name of the membership service. */
export const membershipName = createServiceName<Membership>("membership");
