import { ObservableValue } from "../_lib/ObservableValue";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { GossipMap } from "../peers/GossipMap";
import type { PeerAddress, PeerNetwork } from "../peers/PeerNetwork";
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
    /** A member whose link stays lost for this long and that cannot be dialled is gone. */
    readonly goneAfterMs: number;
}

const memberPrefix = "member/";
const vmPrefix = "vm/";
const pingMethod = "membership.ping";

/**
 * Who the members are. Members announce themselves in the gossip map; a member that cannot be reached is
 * marked gone by a neighbour and refutes it when it lives (as in SWIM, Das et al. 2002).
 */
export class Membership {
    readonly members = new ObservableValue<readonly Member[]>([]);
    private readonly scope: TaskScope;
    private readonly lostSinceMs = new Map<string, number>();
    private state: MemberState = "live";
    private recorded: readonly PeerAddress[] = [];
    /** Monotonic time at which each gone member was first seen as gone, in milliseconds. */
    private readonly goneSinceMs = new Map<string, number>();

    constructor(private readonly options: MembershipOptions) {
        this.scope = createLoggedTaskScope(options.events);
        options.network.handle(pingMethod, async () => ({ nodeId: options.self.nodeId }));
        options.network.onLinkLost(nodeId => {
            if (!this.lostSinceMs.has(nodeId)) {
                this.lostSinceMs.set(nodeId, options.clock.readMonotonicMs());
            }
        });
        options.network.onHeartbeat(nodeId => this.lostSinceMs.delete(nodeId));
    }

    /** Announces this node and starts to watch the others. */
    async start(): Promise<void> {
        this.options.gossip.latestChange.changes.observe(() => this.refresh()).catch(() => {});
        this.announce();
        this.refresh();
        this.scope.run("member-watch", signal => this.watchLost(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** This node's own state. */
    get ownState(): MemberState {
        return this.state;
    }

    /** Members that take new work, this node included unless it is leaving. */
    listLive(): Member[] {
        return this.members.value.filter(member => member.state === "live");
    }

    /**
     * Counts the members that take requests or may do so unseen: live ones, and those that went lately, which may live
     * behind a cut.
     *
     * @param withinMs - how lately a member went
     */
    countPresumedLive(withinMs: number): number {
        const oldestMs = this.options.clock.readMonotonicMs() - withinMs;
        const lately = this.members.value.filter(member =>
            member.state === "gone" && (this.goneSinceMs.get(member.nodeId) ?? -Infinity) >= oldestMs
        );
        return this.listLive().length + lately.length;
    }

    /** Finds a member by name. */
    find(nodeId: string): Member | undefined {
        return this.members.value.find(member => member.nodeId === nodeId);
    }

    /**
     * Sets nodes that a record outside of the members names; those not heard of yet are dialled.
     *
     * @param addresses - nodes and where they are dialled
     */
    setRecorded(addresses: readonly PeerAddress[]): void {
        this.recorded = addresses;
        this.refresh();
    }

    /** Tells every member that this node is leaving. */
    announceLeaving(): void {
        this.state = "leaving";
        this.announce();
    }

    /** Tells every member that this node is gone; the last message before it stops. */
    announceGone(): void {
        this.state = "gone";
        this.announce();
    }

    private announce(): void {
        const self: Member = { ...this.options.self, state: this.state };
        this.options.gossip.set(`${memberPrefix}${self.nodeId}`, self);
    }

    private refresh(): void {
        const announced = this.options.gossip.listValues<Member>(memberPrefix);
        const own = announced.find(member => member.nodeId === this.options.self.nodeId);
        if (own && (own.state !== this.state || own.incarnation !== this.options.self.incarnation)) {
            this.announce();
            return;
        }
        this.reportChanges(announced);
        this.members.set(announced);
        this.options.network.setMembers(this.listDialled(announced));
    }

    /**
     * Members to keep links to. A member that is gone is still dialled where a record names it: it may have come back at
     * another address, or live behind a cut that has healed, and nobody else may dial it.
     */
    private listDialled(announced: readonly Member[]): PeerAddress[] {
        const present = announced.filter(member => member.state !== "gone")
            .map(member => ({ nodeId: member.nodeId, url: member.peersUrl }));
        const known = new Set(present.map(address => address.nodeId));
        const listed = this.options.gossip.listValues<Vm>(vmPrefix)
            .filter(vm => vm.role === "entry")
            .map(vm => ({ nodeId: vm.service, url: vm.url }));
        return [...present, ...[...listed, ...this.recorded].filter(address => !known.has(address.nodeId))];
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

    private *watchLost(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.heartbeatMs, signal));
            const oldestMs = this.options.clock.readMonotonicMs() - this.options.goneAfterMs;
            for (const [nodeId, sinceMs] of [...this.lostSinceMs]) {
                const member = this.find(nodeId);
                if (!member || member.state === "gone") {
                    this.lostSinceMs.delete(nodeId);
                }
                else if (sinceMs < oldestMs) {
                    yield* this.confirmGone(member);
                }
            }
        }
    }

    private *confirmGone(member: Member): Task<void> {
        try {
            yield* waitFor(
                this.options.network.call(member.nodeId, pingMethod, {}, this.options.heartbeatMs),
            );
        }
        catch {
            const current = this.find(member.nodeId);
            if (current && current.incarnation === member.incarnation) {
                this.options.gossip.set(`${memberPrefix}${member.nodeId}`, { ...current, state: "gone" });
            }
        }
        this.lostSinceMs.delete(member.nodeId);
    }
}

/** Name of the membership service. */
export const membershipName = createServiceName<Membership>("membership");
