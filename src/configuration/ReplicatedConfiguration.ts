import type { Either } from "purify-ts";
import { z } from "zod";
import { ObservableValue } from "../_lib/ObservableValue";
import { AccountIndex } from "../declaration/AccountIndex";
import { parseDeclaration } from "../declaration/parseDeclaration";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Membership } from "../membership/Membership";
import { isPoller } from "../membership/isPoller";
import type { PeerNetwork } from "../peers/PeerNetwork";
import type { Failure } from "../results/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Invariants } from "../telemetry/Invariants";
import type { ConfigurationChange, ConfigurationStore } from "./ConfigurationStore";
import type { ActiveConfiguration, AppliedChange } from "./types";

/** Options of {@link ReplicatedConfiguration}. */
export interface ReplicatedConfigurationOptions {
    readonly nodeId: string;
    readonly store: ConfigurationStore;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly invariants: Invariants;
    readonly network: Pick<PeerNetwork, "call" | "registerHandler" | "linkedNodeIds" | "onHeartbeat">;
    readonly membership: Pick<Membership, "listLive">;
    readonly pollMs: number;
    /** A node without contact to the store and to any member for this long refuses new work. */
    readonly isolationMs: number;
}

const waveMethod = "configuration.wave";
const readMethod = "configuration.read";
const waveTimeoutMs = 2_500;
const readTimeoutMs = 1_000;
const hopTimeoutShare = 0.8; // each hop leaves the previous hop time to answer

const waveSchema = z.object({ revision: z.number().int(), timeoutMs: z.number() }).strict();
const waveReplySchema = z.object({ inForce: z.array(z.string()) });
const configurationSchema = z.object({
    revision: z.number().int(),
    changeId: z.string(),
    declaration: z.unknown(),
    committedAtMs: z.number(),
}).strict();

/** Keeps the committed configuration in force on this node and propagates changes to the other members. */
export class ReplicatedConfiguration {
    readonly current = new ObservableValue<ActiveConfiguration | undefined>(undefined);
    /** Client accounts of the revision in force, by key. */
    accounts = new AccountIndex([]);
    private readonly scope: TaskScope;
    private lastStoreReadMs = -Infinity;
    private lastHeartbeatMs = -Infinity;
    private isStale = true;
    private isPulling = false;
    /** Revisions whose wave this node is forwarding now. */
    private readonly activeWaves = new Set<number>();

    constructor(private readonly options: ReplicatedConfigurationOptions) {
        this.scope = createLoggedTaskScope(options.events);
        const { network } = options;
        network.registerHandler(waveMethod, (payload, fromNode) => this.receiveWave(payload, fromNode));
        network.registerHandler(readMethod, async () => this.current.value);
        network.onHeartbeat((nodeId, heartbeat) => {
            this.lastHeartbeatMs = options.clock.readMonotonicMs();
            if (heartbeat.revision > this.revision) {
                void this.pull(nodeId);
            }
        });
    }

    /** Revision in force; 0 before the first. */
    get revision(): number {
        return this.current.value?.revision ?? 0;
    }

    /** Reads the store once, if it is available, and then polls it in the background. */
    async start(): Promise<void> {
        await this.poll();
        this.scope.run("configuration-poll", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** Whether the revision can be assumed to be current: there was recent contact with the store or a member. */
    isCurrent(): boolean {
        const lastContactMs = Math.max(this.lastStoreReadMs, this.lastHeartbeatMs);
        const isCurrent = this.options.clock.readMonotonicMs() - lastContactMs < this.options.isolationMs;
        if (isCurrent === this.isStale) {
            this.isStale = !isCurrent;
            const kind = isCurrent ? eventKinds.configurationCurrent : eventKinds.configurationStale;
            this.options.events.emit(kind, { revision: this.revision });
        }
        return isCurrent;
    }

    /**
     * Commits a change and propagates it to the members.
     *
     * @param change - the change
     * @returns the nodes that have it in force and those that did not confirm it, or why it was not committed
     */
    async apply(change: ConfigurationChange): Promise<Either<Failure, AppliedChange>> {
        const committed = await this.options.store.commit(change);
        if (committed.isLeft()) {
            return committed as unknown as Either<Failure, AppliedChange>;
        }
        const next = committed.unsafeCoerce();
        this.options.events.emit(eventKinds.configurationApplied, {
            revision: next.revision,
            changeId: next.changeId,
        });
        this.adopt(next);
        const inForce = await this.sendWave(next.revision, undefined, waveTimeoutMs);
        const missing = this.options.membership.listLive()
            .map(member => member.nodeId)
            .filter(nodeId => !inForce.includes(nodeId));
        return committed.map(() => ({ revision: next.revision, changeId: next.changeId, inForce, missing }));
    }

    /**
     * Asks every member for its revision in force, with the same wave that propagates a change.
     *
     * @returns ids of the nodes that have the same revision in force as this node
     */
    async confirmInForce(): Promise<readonly string[]> {
        return this.sendWave(this.revision, undefined, waveTimeoutMs);
    }

    /** Adopts a higher revision; lower and equal ones are ignored. */
    private adopt(next: ActiveConfiguration): void {
        if (next.revision <= this.revision) {
            return;
        }
        const previousRevision = this.revision;
        this.accounts = new AccountIndex(next.declaration.clientAccounts);
        this.current.set(next);
        this.options.invariants.assert(
            "configuration-revision-grows",
            this.revision > previousRevision,
            () =>
                `revision ${previousRevision} was replaced by revision ${this.revision}, which is not higher`,
        );
        this.options.events.emit(eventKinds.configurationAdopted, {
            revision: next.revision,
            changeId: next.changeId,
        });
    }

    /**
     * Notifies the linked members of a revision and collects the nodes that have exactly that revision in force. This
     * is an echo algorithm (Segall 1983): each member forwards the wave over its own links and replies with the nodes
     * that confirmed. A member that is already forwarding the wave replies with at most itself. Duplicates are removed.
     *
     * @param revision - revision to confirm
     * @param fromNode - node that sent the wave; undefined at its origin
     * @param timeoutMs - time-out for the replies
     * @returns ids of the confirmed nodes
     */
    private async sendWave(
        revision: number,
        fromNode: string | undefined,
        timeoutMs: number,
    ): Promise<string[]> {
        this.activeWaves.add(revision);
        const own = this.revision === revision ? [this.options.nodeId] : [];
        const targets = this.options.network.linkedNodeIds.filter(nodeId => nodeId !== fromNode);
        const payload = { revision, timeoutMs: timeoutMs * hopTimeoutShare };
        const replies = await Promise.all(targets.map(async nodeId => {
            try {
                const reply = await this.options.network.call(nodeId, waveMethod, payload, timeoutMs);
                return waveReplySchema.parse(reply).inForce;
            }
            catch {
                return [];
            }
        }));
        this.activeWaves.delete(revision);
        return [...new Set([...own, ...replies.flat()])];
    }

    private async receiveWave(payload: unknown, fromNode: string): Promise<unknown> {
        const { revision, timeoutMs } = waveSchema.parse(payload);
        if (this.activeWaves.has(revision)) {
            return { inForce: this.revision === revision ? [this.options.nodeId] : [] };
        }
        this.activeWaves.add(revision);
        if (revision > this.revision) {
            await this.pull(fromNode);
        }
        return { inForce: await this.sendWave(revision, fromNode, timeoutMs) };
    }

    /** Fetches the configuration from a member with a higher revision. */
    private async pull(nodeId: string): Promise<void> {
        if (this.isPulling) {
            return;
        }
        this.isPulling = true;
        try {
            const reply = await this.options.network.call(nodeId, readMethod, {}, readTimeoutMs);
            const received = configurationSchema.parse(reply);
            parseDeclaration(received.declaration).ifRight(declaration =>
                this.adopt({ ...received, declaration })
            );
        }
        catch (error) {
            this.options.events.emit(eventKinds.peerRejected, { peer: nodeId, reason: String(error) });
        }
        finally {
            this.isPulling = false;
        }
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(this.options.pollMs, signal));
            if (isPoller({ ...this.options, job: "configuration" }) || !this.isCurrent()) {
                yield* waitFor(this.poll());
            }
            this.isCurrent();
        }
    }

    private async poll(): Promise<void> {
        try {
            const stored = await this.options.store.read();
            this.lastStoreReadMs = this.options.clock.readMonotonicMs();
            if (stored) {
                this.adopt(stored);
            }
        }
        catch {
            // The table service is unavailable; changes may still arrive from members.
        }
    }
}

/** Name of the replicated configuration service. */
export const replicatedConfigurationName = createServiceName<ReplicatedConfiguration>("configuration");
