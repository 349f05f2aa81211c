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
import { createReportingScope } from "../telemetry/createReportingScope";
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
    /** A node that hears neither the store nor any member for this long refuses new work. */
    readonly isolationMs: number;
}

const waveMethod = "configuration.wave";
const readMethod = "configuration.read";
const waveTimeoutMs = 2_500;
const readTimeoutMs = 1_000;
const hopTimeoutShare = 0.8; // each hop leaves the one before it time to answer

const waveSchema = z.object({ revision: z.number().int(), timeoutMs: z.number() }).strict();
const waveReplySchema = z.object({ inForce: z.array(z.string()) });
const configurationSchema = z.object({
    revision: z.number().int(),
    changeId: z.string(),
    declaration: z.unknown(),
    committedAtMs: z.number(),
}).strict();

/** Keeps the committed configuration in force on this node and spreads changes to the members. */
export class ReplicatedConfiguration {
    readonly current = new ObservableValue<ActiveConfiguration | undefined>(undefined);
    /** Accounts of the revision in force, by their keys. */
    accounts = new AccountIndex([]);
    private readonly scope: TaskScope;
    private lastStoreMs = -Infinity;
    private lastMemberMs = -Infinity;
    private stale = true;
    private pulling = false;
    private readonly wavesSeen = new Set<number>();

    constructor(private readonly options: ReplicatedConfigurationOptions) {
        this.scope = createReportingScope(options.events);
        const { network } = options;
        network.registerHandler(waveMethod, (payload, fromNode) => this.receiveWave(payload, fromNode));
        network.registerHandler(readMethod, async () => this.current.value);
        network.onHeartbeat((nodeId, heartbeat) => {
            this.lastMemberMs = options.clock.readMonotonicMs();
            if (heartbeat.revision > this.revision) {
                void this.pull(nodeId);
            }
        });
    }

    /** Revision in force, 0 before the first. */
    get revision(): number {
        return this.current.value?.revision ?? 0;
    }

    /** Reads the store once, if it can be had, and goes on in the background. */
    async start(): Promise<void> {
        await this.poll();
        this.scope.run("configuration-poll", signal => this.watch(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** Whether this node can know that its revision is current: it heard the store or a member lately. */
    isCurrent(): boolean {
        const heardMs = Math.max(this.lastStoreMs, this.lastMemberMs);
        const current = this.options.clock.readMonotonicMs() - heardMs < this.options.isolationMs;
        if (current === this.stale) {
            this.stale = !current;
            const kind = current ? eventKinds.configurationCurrent : eventKinds.configurationStale;
            this.options.events.emit(kind, { revision: this.revision });
        }
        return current;
    }

    /**
     * Commits a change and spreads it.
     *
     * @param change - the change
     * @returns who has it in force, or why it was not made
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
     * Asks every member which revision it has in force, through the same wave as a change.
     *
     * @returns nodes that have this node's revision in force
     */
    async confirmInForce(): Promise<readonly string[]> {
        return this.sendWave(this.revision, undefined, waveTimeoutMs);
    }

    /** Adopts a higher revision; lower and equal ones are ignored. */
    private adopt(next: ActiveConfiguration): void {
        if (next.revision <= this.revision) {
            return;
        }
        const before = this.revision;
        this.accounts = new AccountIndex(next.declaration.clientAccounts);
        this.current.set(next);
        this.options.invariants.assert(
            "configuration-revision-grows",
            this.revision > before,
            () => `revision ${before} was followed by ${this.revision}`,
        );
        this.options.events.emit(eventKinds.configurationAdopted, {
            revision: next.revision,
            changeId: next.changeId,
        });
    }

    /**
     * Tells the linked members of a revision and collects who has exactly that revision in force: a wave with
     * echo (Segall 1983). A member that heard it before answers with nobody, so each node is counted once.
     */
    private async sendWave(
        revision: number,
        fromNode: string | undefined,
        timeoutMs: number,
    ): Promise<string[]> {
        this.wavesSeen.add(revision);
        const own = this.revision === revision ? [this.options.nodeId] : [];
        const targets = this.options.network.linkedNodeIds.filter(nodeId => nodeId !== fromNode);
        const payload = { revision, timeoutMs: timeoutMs * hopTimeoutShare };
        const echoes = await Promise.all(targets.map(async nodeId => {
            try {
                const reply = await this.options.network.call(nodeId, waveMethod, payload, timeoutMs);
                return waveReplySchema.parse(reply).inForce;
            }
            catch {
                return [];
            }
        }));
        this.wavesSeen.delete(revision);
        return [...new Set([...own, ...echoes.flat()])];
    }

    private async receiveWave(payload: unknown, fromNode: string): Promise<unknown> {
        const { revision, timeoutMs } = waveSchema.parse(payload);
        if (this.wavesSeen.has(revision)) {
            return { inForce: this.revision === revision ? [this.options.nodeId] : [] };
        }
        this.wavesSeen.add(revision);
        if (revision > this.revision) {
            await this.pull(fromNode);
        }
        return { inForce: await this.sendWave(revision, fromNode, timeoutMs) };
    }

    /** Takes the configuration from a member that is ahead. */
    private async pull(nodeId: string): Promise<void> {
        if (this.pulling) {
            return;
        }
        this.pulling = true;
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
            this.pulling = false;
        }
    }

    private *watch(signal: AbortSignal): Task<void> {
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
            this.lastStoreMs = this.options.clock.readMonotonicMs();
            if (stored) {
                this.adopt(stored);
            }
        }
        catch {
            // The table service is down; members may still be heard.
        }
    }
}

/** Name of the configuration service. */
export const replicatedConfigurationName = createServiceName<ReplicatedConfiguration>("configuration");
