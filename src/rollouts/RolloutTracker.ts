import type { FeedFollower } from "../feeds/FeedFollower";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, RandomSource, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Readiness } from "../membership/Readiness";
import type { GossipMap } from "../peers/GossipMap";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { TrackedInstance } from "../placement/createTrackedInstance";
import type { TableService } from "../platform/types";
import type { OperatorRecord } from "../routes/types";
import type { ClusterSums } from "../sums/ClusterSums";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { formatRolloutId } from "./formatRolloutId";
import { isNewerRecord } from "./isNewerRecord";
import { RolloutAttempt } from "./RolloutAttempt";
import type { RolloutCounters, RolloutSums } from "./RolloutCounters";
import { recordsTable, rolloutRecordSchema } from "./rolloutRecordSchema";
import { RolloutState } from "./RolloutState";
import { type RolloutBounds, type RolloutOrder, rolloutPhases, type RolloutRecord } from "./types";
import { VersionChoice } from "./VersionChoice";

/** Options of {@link RolloutTracker}. */
export interface RolloutTrackerOptions {
    readonly feed: Pick<FeedFollower<OperatorRecord>, "records">;
    readonly gossip: Pick<GossipMap, "get" | "set" | "listValues" | "latestChange">;
    readonly sums: Pick<ClusterSums, "registerContributor" | "readOthers">;
    readonly instances: Pick<InstanceRegistry, "listInService" | "countOwnInFlight">;
    readonly readiness: Pick<Readiness, "countLive" | "countPresumedLive">;
    readonly tables: Pick<TableService, "read">;
    readonly bounds: RolloutBounds;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly events: EventLog;
}

/** Group of counters with the evidence on versions. */
export const rolloutsGroup = "rollouts";
/** Group of counters of what nodes do now, which are dropped when a node has not been heard of for a moment. */
const presenceGroup = "rollouts-now";
const gossipPrefix = "rollout/";
const evaluationMs = 250; // as often as the sums change
const storeReadMs = 1_000; // between two readings of a node that the others do not tell
const minPresentShare = 0.6; // of the nodes, without whose answers a node cannot tell that a version is bad

/**
 * What this node knows of the roll-outs: the operators' orders, the agreed phases and the evidence of all nodes. Chooses the
 * versions that requests may use. Every node judges a version by itself, so that a bad one gets no more requests even if
 * the holder of the duty, or the store, is away.
 */
export class RolloutTracker {
    private readonly scope: TaskScope;
    private readonly states = new Map<string, RolloutState>();
    private orders: ReadonlyMap<string, RolloutOrder> = new Map();
    private isEvaluating = false;
    /** Monotonic time at which this node last read a roll-out from the store, in milliseconds, by service. */
    private readonly storeReadAtMs = new Map<string, number>();

    constructor(private readonly options: RolloutTrackerOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        const { feed, gossip, sums } = this.options;
        sums.registerContributor(presenceGroup, () => {
            this.listActive().forEach(state => this.updatePresence(state));
            return this.readOwn(({ presence }) => presence);
        });
        sums.registerContributor(rolloutsGroup, () => this.readOwn(({ answers }) => answers));
        feed.records.onChange(records => this.adoptOrders(records));
        this.adoptOrders(feed.records.value);
        gossip.latestChange.onChange(({ entries }) =>
            entries.filter(({ key }) => key.startsWith(gossipPrefix)).forEach(({ value }) =>
                this.receive(value)
            )
        );
        gossip.listValues(gossipPrefix).forEach(value => this.receive(value));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** Whether the orders have been read from the store, here or by another node. */
    get hasReadOrders(): boolean {
        return this.options.feed.records.value !== undefined;
    }

    /** The operators' orders by service. */
    listOrders(): ReadonlyMap<string, RolloutOrder> {
        return this.orders;
    }

    /** The newest known roll-outs. */
    listStates(): RolloutState[] {
        return [...this.states.values()];
    }

    /** The roll-outs that are not over. */
    listActive(): RolloutState[] {
        return this.listStates().filter(state => state.isActive);
    }

    /** Returns what is known of the newest roll-out of a service. */
    findState(service: string): RolloutState | undefined {
        return this.states.get(service);
    }

    /**
     * Adopts a record if it follows the one that is known, and tells the other nodes of it if they may not know it.
     *
     * @param record - a record that is stored
     */
    adopt(record: RolloutRecord): void {
        this.apply(record);
        const key = `${gossipPrefix}${record.service}`;
        const told = rolloutRecordSchema.safeParse(this.options.gossip.get(key)).data;
        if (isNewerRecord(record, told)) {
            this.options.gossip.set(key, record);
        }
    }

    /** Reads the evidence of all nodes on the newest roll-out of a service. */
    readSums(state: RolloutState): RolloutSums {
        const { sums } = this.options;
        this.updatePresence(state);
        return state.counters.readSums([sums.readOthers(rolloutsGroup), sums.readOthers(presenceGroup)]);
    }

    /**
     * Begins to choose versions for one request.
     *
     * @param service - service of the request
     * @param route - name of its route
     * @returns undefined if no order names the service
     */
    chooseVersions(service: string, route: string): VersionChoice | undefined {
        const version = this.orders.get(service)?.version ?? this.states.get(service)?.record.version;
        if (version === undefined) {
            return undefined;
        }
        const { instances, bounds, random, clock } = this.options;
        return new VersionChoice({
            version,
            route,
            readState: () => this.states.get(service),
            listInService: () => instances.listInService(service),
            exposureShare: bounds.exposureShare,
            random,
            readNowMs: () => clock.readMonotonicMs(),
        });
    }

    /**
     * Begins to time an attempt.
     *
     * @param upstream - upstream of the attempt
     * @param route - name of the request's route
     * @returns undefined if its outcome is no evidence on a version
     */
    beginAttempt({ instance }: TrackedInstance, route: string): RolloutAttempt | undefined {
        const state = this.states.get(instance.service);
        if (!state?.isActive) {
            return undefined;
        }
        const isCandidate = instance.softwareVersion === state.record.version;
        const attempted = { route, upstream: instance.id, isCandidate };
        return new RolloutAttempt({
            readNowMs: () => this.options.clock.readMonotonicMs(),
            onEnd: outcome => state.countAttempt(attempted, outcome),
        });
    }

    private adoptOrders(records: ReadonlyMap<string, OperatorRecord> | undefined): void {
        const orders = [...records?.values() ?? []].filter(isOrder);
        this.orders = new Map(orders.map(order => [order.service, order]));
    }

    private receive(value: unknown): void {
        const record = rolloutRecordSchema.safeParse(value).data;
        if (record) {
            this.apply(record);
        }
    }

    private apply(record: RolloutRecord): void {
        const { clock, readiness, bounds, events } = this.options;
        const state = this.states.get(record.service);
        if (!isNewerRecord(record, state?.record)) {
            return;
        }
        const nowMs = clock.readMonotonicMs();
        if (state?.id === formatRolloutId(record)) {
            state.advance(record, nowMs);
        }
        else {
            const nodes = readiness.countPresumedLive();
            this.states.set(record.service, new RolloutState(record, { bounds, nodes, nowMs }));
        }
        const { service, version, phase, reason } = record;
        events.emit(eventKinds.rolloutPhase, { service, softwareVersion: version, phase, reason });
        this.startEvaluation();
    }

    private startEvaluation(): void {
        if (!this.isEvaluating && this.listActive().length > 0) {
            this.isEvaluating = true;
            this.scope.run("rollout-evaluation", signal => this.evaluate(signal));
        }
    }

    private *evaluate(signal: AbortSignal): Task<void> {
        for (;;) {
            const active = this.listActive();
            if (active.length === 0 || signal.aborted) {
                this.isEvaluating = false;
                return;
            }
            active.forEach(state => this.judge(state));
            for (const state of active.filter(({ isInformed }) => !isInformed)) {
                yield* this.readStored(state);
            }
            yield* waitFor(this.options.clock.sleep(evaluationMs, signal));
        }
    }

    private judge(state: RolloutState): void {
        const before = state.verdict.kind;
        const sums = this.readSums(state);
        const nodes = this.options.readiness.countPresumedLive();
        state.isInformed = sums.presentNodes >= nodes * minPresentShare;
        state.evaluate(sums);
        const { kind, reason } = state.verdict;
        if (kind !== before) {
            const { service, version } = state.record;
            const fields = { service, softwareVersion: version, verdict: kind, reason };
            this.options.events.emit(eventKinds.rolloutJudged, fields);
        }
    }

    /** Reads the record of a roll-out from the store, as the other nodes may not be able to tell of it. */
    private *readStored({ record: { service } }: RolloutState): Task<void> {
        const { tables, clock, events } = this.options;
        const nowMs = clock.readMonotonicMs();
        if (nowMs - (this.storeReadAtMs.get(service) ?? -Infinity) < storeReadMs) {
            return;
        }
        this.storeReadAtMs.set(service, nowMs);
        try {
            const [row] = yield* waitFor(tables.read([{ table: recordsTable, key: service }]));
            this.receive(row?.value);
        }
        catch (error) {
            events.emit(eventKinds.storeFailed, { call: "read a roll-out", error: String(error) });
        }
    }

    /** Updates what the node tells of its requests at the other versions. */
    private updatePresence(state: RolloutState): void {
        const { service, version, phase } = state.record;
        const atOld = this.options.instances.countOwnInFlight(
            service,
            ({ softwareVersion }) => softwareVersion !== version,
        );
        state.counters.setPresence(phase === rolloutPhases.moving, atOld);
    }

    private readOwn(
        read: (counters: RolloutCounters) => ReadonlyMap<string, number>,
    ): ReadonlyMap<string, number> {
        return new Map(this.listActive().flatMap(({ counters }) => [...read(counters)]));
    }
}

const isOrder = (record: OperatorRecord): record is RolloutOrder =>
    "kind" in record && record.kind === "rollout-order";

/** Name of the roll-out tracker service. */
export const rolloutTrackerName = createServiceName<RolloutTracker>("rollout-tracker");
