import { abortReason } from "../_lib/abortReason";
import { rankByRendezvous } from "../_lib/rankByRendezvous";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { ScheduledReclaim } from "../membership/CloudPoller";
import type { Membership } from "../membership/Membership";
import type { GossipMap } from "../peers/GossipMap";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { ObjectStore, Vm } from "../platform/types";
import type { ChatRequests } from "../streams/ChatRequests";
import type { RequestLocator } from "../streams/RequestLocator";
import type { RequestRecord } from "../streams/RequestRecord";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Invariants } from "../telemetry/Invariants";
import { HandOverOffers } from "./HandOverOffers";
import { StoredHandOvers } from "./StoredHandOvers";

/** Options of {@link EntryReclaim}. */
export interface EntryReclaimOptions {
    readonly nodeId: string;
    readonly dataCentre: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
    readonly invariants: Invariants;
    readonly gossip: GossipMap;
    readonly network: PeerNetwork;
    readonly membership: Membership;
    readonly objects: ObjectStore;
    readonly chatRequests: ChatRequests;
    readonly locator: RequestLocator;
    /** Whether this node is responsible for recovering stored requests now. */
    readonly isPoller: () => boolean;
    /** Time between scans for stored requests; default 2,000 ms. */
    readonly scanIntervalMs?: number;
}

const maxMembersTried = 3;
const disconnectLeadMs = 500; // callers are disconnected this long before the VM is reclaimed

/** Hands the requests of this node over to other members when its VM is reclaimed, and accepts theirs. */
export class EntryReclaim {
    private readonly scope: TaskScope;
    private readonly disconnectController = new AbortController();
    private readonly offers: HandOverOffers;
    private readonly stored: StoredHandOvers;
    private hasStartedHandOver = false;

    constructor(private readonly options: EntryReclaimOptions) {
        this.scope = createLoggedTaskScope(options.events);
        this.offers = new HandOverOffers({
            clock: options.clock,
            network: options.network,
            checkAcceptance: () => this.checkAcceptance(),
            takeOver: snapshot => options.chatRequests.takeOver(snapshot),
        });
        this.stored = new StoredHandOvers(options);
    }

    /** Aborts when callers must be disconnected; they reconnect to another node. */
    get disconnectSignal(): AbortSignal {
        return this.disconnectController.signal;
    }

    async start(): Promise<void> {
        this.options.gossip.latestChange.changes.observe(() => this.checkNotice()).catch(() => {});
        this.scope.run("stored-hand-overs", signal => this.scanStoredHandOvers(signal));
    }

    async stop(): Promise<void> {
        this.disconnectController.abort(abortReason);
        await this.scope.cancel();
    }

    /**
     * Hands every request in progress and every unread answer over to other members. Requests that no member accepts
     * are written to the object store. This node keeps responsibility for a request until the receiver or the store has
     * acknowledged it.
     */
    *handOverAll(): Task<void> {
        const records = [
            ...this.options.chatRequests.listInProgress(),
            ...this.options.chatRequests.listUndelivered(),
        ]
            .filter(record => record.description.workClass.durability !== "none" || !record.hasEnded);
        const handedOver = yield* waitFor(Promise.all(records.map(record => this.handOver(record))));
        const remaining = records.filter((record, index) => !handedOver[index] && !isComplete(record));
        if (remaining.length > 0) {
            const isStored = yield* this.stored.store(remaining);
            if (!isStored) {
                remaining.forEach(record => resumeLocally(record));
            }
        }
    }

    /** Starts the hand-over once the cloud has announced the reclaim of this node's VM. */
    private checkNotice(): void {
        if (this.hasStartedHandOver) {
            return;
        }
        const ownVm = this.options.gossip.listValues<Vm>("vm/")
            .find(vm => vm.role === "entry" && vm.service === this.options.nodeId);
        const notice = ownVm && this.options.gossip.get(`notice/${ownVm.id}`) as ScheduledReclaim | undefined;
        if (notice) {
            this.hasStartedHandOver = true;
            this.scope.run("entry-reclaim", signal => this.handleNotice(notice, signal));
        }
    }

    private *handleNotice(notice: ScheduledReclaim, signal: AbortSignal): Task<void> {
        this.options.membership.announceLeaving();
        yield* this.handOverAll();
        const remainingMs = notice.takenAtMs - this.options.clock.readWallMs() - disconnectLeadMs;
        yield* waitFor(this.options.clock.sleep(Math.max(0, remainingMs), signal));
        yield* this.handOverAll();
        this.disconnectController.abort(abortReason);
    }

    /** Freezes a request, which stops its answer from growing, and offers it to other members. */
    private async handOver(record: RequestRecord): Promise<boolean> {
        record.isFrozen = true;
        return this.offerToMembers(record);
    }

    private async offerToMembers(record: RequestRecord): Promise<boolean> {
        for (const nodeId of this.rankRecipients(record.id).slice(0, maxMembersTried)) {
            if (isComplete(record)) {
                return true;
            }
            const snapshot = this.options.chatRequests.toSnapshot(record);
            const isWanted = (): boolean => !isComplete(record);
            if (await this.offers.offer({ nodeId, snapshot, isWanted })) {
                this.completeHandOver(record, nodeId);
                return true;
            }
        }
        return false;
    }

    private completeHandOver(record: RequestRecord, nodeId: string): void {
        this.options.invariants.assert(
            "hand-over-acknowledged",
            this.offers.isGranted(record.id, nodeId),
            () =>
                `request "${record.id}" is about to be handed over without an acknowledgement from "${nodeId}"`,
        );
        this.options.events.emit(eventKinds.handOverSent, { requestId: record.id, to: nodeId });
        this.options.chatRequests.markHandedOver(record, nodeId);
        this.options.locator.publishHint(record.id, nodeId);
    }

    /** Ranks the other live members: those in other data centres first, then those in this one. */
    private rankRecipients(requestId: string): string[] {
        const live = this.options.membership.listLive().filter(member =>
            member.nodeId !== this.options.nodeId
        );
        const rank = (isOtherDataCentre: boolean): string[] =>
            rankByRendezvous(
                requestId,
                live.filter(member => (member.dataCentre !== this.options.dataCentre) === isOtherDataCentre)
                    .map(member => member.nodeId),
            );
        return [...rank(true), ...rank(false)];
    }

    private checkAcceptance(): void {
        if (this.options.membership.ownState !== "live") {
            throw new Error("this node is leaving and accepts no requests");
        }
    }

    private *scanStoredHandOvers(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.scanIntervalMs ?? 2_000, signal));
            if (!this.options.isPoller() || this.options.membership.ownState !== "live") {
                continue;
            }
            try {
                yield* this.stored.takeAll();
            }
            catch {
                // The object store is unavailable; the next scan retries.
            }
        }
    }
}

/** Continues a request on this node from its current position, after neither a member nor the object store took it. */
const resumeLocally = (record: RequestRecord): void => {
    record.isFrozen = false;
    record.currentAttempt?.stop({ kind: "moved" });
};

/** Whether nothing is left to hand over: the request has ended and its answer, if there is one, was delivered. */
const isComplete = (record: RequestRecord): boolean =>
    record.hasEnded && (record.state !== "answered" || record.isDelivered);

/** Name of the entry reclaim service. */
export const entryReclaimName = createServiceName<EntryReclaim>("entry-reclaim");
