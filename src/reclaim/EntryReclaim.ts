import { abortReason } from "../_lib/abortReason";
import { pack, unpack } from "msgpackr";
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
import { type RequestSnapshot, requestSnapshotSchema } from "../streams/RequestSnapshot";
import type { RequestLocator } from "../streams/RequestLocator";
import type { RequestRecord } from "../streams/RequestRecord";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Invariants } from "../telemetry/Invariants";

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
    readonly chats: ChatRequests;
    readonly locator: RequestLocator;
    /** Whether this node looks for stored requests now. */
    readonly isWatcher: () => boolean;
    /** Pause between looks for stored requests; default 2,000 ms. */
    readonly scanMs?: number;
}

const takeMethod = "hand-over.take";
const takeTimeoutMs = 800;
const maxMembersTried = 3;
const storePrefix = "hand-over/";
const storeAttempts = 5;
const storePauseMs = 150;
const letGoBeforeMs = 500; // callers are pointed on this long before the VM is taken

/** Hands the requests of this node to other members when its VM is reclaimed, and takes in theirs. */
export class EntryReclaim {
    private readonly scope: TaskScope;
    private readonly letGoController = new AbortController();
    private started = false;

    constructor(private readonly options: EntryReclaimOptions) {
        this.scope = createReportingScope(options.events);
        options.network.registerHandler(takeMethod, async payload => this.take(payload));
    }

    /** Aborts when callers must be pointed on. */
    get disconnectSignal(): AbortSignal {
        return this.letGoController.signal;
    }

    async start(): Promise<void> {
        this.options.gossip.latestChange.changes.observe(() => this.watchNotice()).catch(() => {});
        this.scope.run("stored-hand-overs", signal => this.scanLoop(signal));
    }

    async stop(): Promise<void> {
        this.letGoController.abort(abortReason);
        await this.scope.cancel();
    }

    /**
     * Hands every request in progress and every unread answer to other members; what nobody takes is stored.
     * A request is let go of only after an acknowledgement.
     */
    *handOverAll(): Task<void> {
        const records = [...this.options.chats.listInProgress(), ...this.options.chats.listUndelivered()]
            .filter(record => record.description.workClass.durability !== "none" || !record.hasEnded);
        const left = yield* waitFor(Promise.all(records.map(record => this.handOver(record))));
        const open = records.filter((record, index) => !left[index] && !isDone(record));
        if (open.length > 0) {
            yield* this.storeAll(open);
        }
    }

    /** Starts the hand-over when the cloud announced that this node's VM is taken. */
    private watchNotice(): void {
        if (this.started) {
            return;
        }
        const ownVm = this.options.gossip.listValues<Vm>("vm/")
            .find(vm => vm.role === "entry" && vm.service === this.options.nodeId);
        const notice = ownVm && this.options.gossip.get(`notice/${ownVm.id}`) as ScheduledReclaim | undefined;
        if (notice) {
            this.started = true;
            this.scope.run("entry-reclaim", signal => this.reclaim(notice, signal));
        }
    }

    private *reclaim(notice: ScheduledReclaim, signal: AbortSignal): Task<void> {
        this.options.membership.announceLeaving();
        yield* this.handOverAll();
        const remainingMs = notice.takenAtMs - this.options.clock.readWallMs() - letGoBeforeMs;
        yield* waitFor(this.options.clock.sleep(Math.max(0, remainingMs), signal));
        yield* this.handOverAll();
        this.letGoController.abort(abortReason);
    }

    /** Offers a request to members in other data centres, then in this one; its answer stands still meanwhile. */
    private async handOver(record: RequestRecord): Promise<boolean> {
        record.isFrozen = true;
        return this.offer(record);
    }

    private async offer(record: RequestRecord): Promise<boolean> {
        for (const nodeId of this.rankTakers(record.id).slice(0, maxMembersTried)) {
            if (isDone(record)) {
                return true;
            }
            try {
                const bundle = this.options.chats.toSnapshot(record);
                const reply = await this.options.network.call(nodeId, takeMethod, bundle, takeTimeoutMs);
                this.letGoOf(record, nodeId, (reply as { taken: boolean; }).taken);
                return true;
            }
            catch {
                // The next member is asked.
            }
        }
        return false;
    }

    private letGoOf(record: RequestRecord, nodeId: string, acknowledged: boolean): void {
        this.options.invariants.assert(
            "hand-over-acknowledged",
            acknowledged,
            () => `request "${record.id}" would be let go of without an acknowledgement of "${nodeId}"`,
        );
        this.options.events.emit(eventKinds.handOverSent, { requestId: record.id, to: nodeId });
        this.options.chats.markHandedOver(record, nodeId);
        this.options.locator.publishHint(record.id, nodeId);
    }

    private rankTakers(requestId: string): string[] {
        const live = this.options.membership.listLive().filter(member =>
            member.nodeId !== this.options.nodeId
        );
        const rank = (elsewhere: boolean): string[] =>
            rankByRendezvous(
                requestId,
                live.filter(member => (member.dataCentre !== this.options.dataCentre) === elsewhere)
                    .map(member => member.nodeId),
            );
        return [...rank(true), ...rank(false)];
    }

    private async take(payload: unknown): Promise<unknown> {
        if (this.options.membership.ownState !== "live") {
            throw new Error("this node is leaving");
        }
        this.options.chats.takeOver(requestSnapshotSchema.parse(payload));
        return { taken: true };
    }

    /** Stores what no member took, in one write. */
    private *storeAll(records: readonly RequestRecord[]): Task<void> {
        const key = `${storePrefix}${this.options.nodeId}-${this.options.random.drawId(8)}`;
        const body = pack(records.map(record => this.options.chats.toSnapshot(record)));
        for (let attempt = 0; attempt < storeAttempts; attempt += 1) {
            try {
                yield* waitFor(this.options.objects.put(key, body));
                records.forEach(record => this.options.chats.markHandedOver(record, undefined));
                this.options.events.emit(eventKinds.handOverStored, { key, requests: records.length });
                return;
            }
            catch {
                yield* waitFor(this.options.clock.sleep(storePauseMs));
            }
        }
        records.forEach(record => thaw(record));
    }

    private *scanLoop(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.scanMs ?? 2_000, signal));
            if (!this.options.isWatcher() || this.options.membership.ownState !== "live") {
                continue;
            }
            try {
                yield* this.recoverStored();
            }
            catch {
                // The object store is down; the next round looks again.
            }
        }
    }

    /** Takes in stored requests. The object is removed only after all of them run here. */
    private *recoverStored(): Task<void> {
        const keys = yield* waitFor(this.options.objects.list(storePrefix));
        for (const key of keys) {
            const body = yield* waitFor(this.options.objects.get(key));
            if (!body) {
                continue;
            }
            for (const bundle of requestSnapshotSchema.array().parse(unpack(body)) as RequestSnapshot[]) {
                this.options.chats.takeOver(bundle);
                this.options.locator.publishHint(bundle.id, this.options.nodeId);
                this.options.events.emit(eventKinds.handOverRecovered, { requestId: bundle.id });
            }
            yield* waitFor(this.options.objects.remove(key));
        }
    }
}

/** Lets a request that nobody took go on here from where it stood. */
const thaw = (record: RequestRecord): void => {
    record.isFrozen = false;
    record.currentAttempt?.stop({ kind: "moved" });
};

const isDone = (record: RequestRecord): boolean =>
    record.hasEnded && (record.state !== "answered" || record.isDelivered);

/** Name of the entry reclaim service. */
export const entryReclaimName = createServiceName<EntryReclaim>("entry-reclaim");
