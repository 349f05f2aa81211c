import type { StoreClock } from "../feeds/StoreClock";
import type { StoreEra } from "../feeds/StoreEra";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { Lease } from "../leases/Lease";
import type { Readiness } from "../membership/Readiness";
import type { InstanceRegistry } from "../placement/InstanceRegistry";
import type { RowCondition, RowOperation, TableService } from "../platform/types";
import type { ServingState } from "../routes/ServingState";
import type { ServingConfiguration } from "../routes/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { createRolloutRecord } from "./createRolloutRecord";
import { isNewerRecord } from "./isNewerRecord";
import { planRollout, type RolloutStep } from "./planRollout";
import { recordsTable, rolloutRecordSchema } from "./rolloutRecordSchema";
import type { RolloutState } from "./RolloutState";
import type { RolloutTracker } from "./RolloutTracker";
import { type RolloutOrder, rolloutPhases, type RolloutRecord } from "./types";

/** Options of {@link RolloutKeeper}. */
export interface RolloutKeeperOptions {
    readonly tracker: RolloutTracker;
    readonly lease: Pick<Lease, "readHeld">;
    readonly state: Pick<ServingState, "table">;
    readonly instances: Pick<InstanceRegistry, "listInService" | "listUsable">;
    readonly readiness: Pick<Readiness, "countLive">;
    readonly tables: TableService;
    readonly storeClock: Pick<StoreClock, "readStoreMs">;
    /** Era of the store; default: the store is never restored from an older copy. */
    readonly storeEra?: StoreEra;
    /** Creates the write that tells operators the state of a roll-out. */
    readonly createStatusWrite: (record: RolloutRecord) => RowOperation;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** A record as it stands in the store. */
interface StoredRecord {
    readonly revision: number;
    readonly record: RolloutRecord | undefined;
}

const cycleMs = 250;

/**
 * Decides on roll-outs while this node holds the lease of the duties: begins them, moves and completes them, or rolls them
 * back. Each step is written on the condition that no other holder has written meanwhile, together with the operators'
 * status, and told to the other nodes only then. A new holder goes on from the stored records.
 */
export class RolloutKeeper {
    private readonly scope: TaskScope;
    /** What the store has, by service; undefined where this holder has to read it. */
    private readonly stored = new Map<string, StoredRecord>();
    private storedEra: number | undefined;

    constructor(private readonly options: RolloutKeeperOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        this.scope.run("rollouts", signal => this.run(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    private *run(signal: AbortSignal): Task<void> {
        while (!signal.aborted) {
            yield* waitFor(this.options.clock.sleep(cycleMs, signal));
            if (!this.options.lease.readHeld() || this.storedEra !== this.readEra()) {
                this.stored.clear();
                this.storedEra = this.readEra();
            }
            for (const service of this.listServices()) {
                yield* this.tryDecide(service);
            }
        }
    }

    /** Lists the services that have an order, or a roll-out that is not over. */
    private listServices(): Set<string> {
        const { tracker } = this.options;
        const active = tracker.listActive().map(({ record }) => record.service);
        return new Set([...tracker.listOrders().keys(), ...active]);
    }

    private readEra(): number {
        return this.options.storeEra?.current.value ?? 0;
    }

    private *tryDecide(service: string): Task<void> {
        const nowMs = this.options.storeClock.readStoreMs();
        if (!this.options.lease.readHeld() || nowMs === undefined) {
            return;
        }
        try {
            const stored = this.stored.get(service) ?? (yield* this.readStored(service));
            yield* this.decide(service, stored, nowMs);
        }
        catch (error) {
            this.stored.delete(service);
            this.options.events.emit(eventKinds.dutyFailed, {
                duty: "rollouts",
                service,
                error: String(error),
            });
        }
    }

    private *readStored(service: string): Task<StoredRecord> {
        const { tables, tracker, events } = this.options;
        const [row] = yield* waitFor(tables.read([{ table: recordsTable, key: service }]));
        const record = rolloutRecordSchema.safeParse(row?.value).data;
        if (row && !record) {
            events.emit(eventKinds.rowUnreadable, { table: recordsTable, key: service });
        }
        if (record) {
            tracker.adopt(record);
        }
        const stored = { revision: row?.revision ?? 0, record };
        this.stored.set(service, stored);
        return stored;
    }

    private *decide(service: string, stored: StoredRecord, nowMs: number): Task<void> {
        const { tracker, state } = this.options;
        const known = tracker.findState(service);
        const order = tracker.listOrders().get(service);
        const configuration = state.table.value?.configuration;
        if (order && configuration && this.isNew(order, known?.record)) {
            yield* this.write(this.createRecord(order, known?.record, configuration, nowMs), stored);
            return;
        }
        if (!known || !tracker.hasReadOrders) {
            return;
        }
        const isExpected = order !== undefined || known.record.era < this.readEra(); // the restored store may lack it
        const step = isExpected ? this.plan(known, nowMs) : planWithdrawal(known);
        if (step) {
            yield* this.write(this.createNext(known.record, step, nowMs), stored);
        }
        else if (isNewerRecord(known.record, stored.record)) {
            yield* this.write(known.record, stored); // the store has lost it
        }
    }

    /** Whether an order is not the one of a record. One with the same content is, if the operator repeats it after a restore. */
    private isNew(order: RolloutOrder, record: RolloutRecord | undefined): boolean {
        if (!record || record.era > this.readEra()) {
            return !record;
        }
        const isSame = order.version === record.version && order.durationMs === record.durationMs;
        if (record.era < this.readEra()) {
            return !isSame && order.revision !== record.previousRevision;
        }
        return order.revision > record.revision;
    }

    private createRecord(
        order: RolloutOrder,
        before: RolloutRecord | undefined,
        configuration: ServingConfiguration,
        nowMs: number,
    ): RolloutRecord {
        const { instances } = this.options;
        return createRolloutRecord({
            order,
            before,
            era: this.readEra(),
            configuration,
            listedVersions: instances.listInService(order.service).map(({ instance }) =>
                instance.softwareVersion
            ),
            nowMs,
            fencing: this.options.lease.readHeld()!.fencing,
        });
    }

    private plan(state: RolloutState, nowMs: number): RolloutStep | undefined {
        const { tracker, instances, readiness } = this.options;
        const { service, version } = state.record;
        const sums = tracker.readSums(state);
        return planRollout({
            record: state.record,
            nowMs,
            verdict: state.verdict,
            longestRequestMs: this.computeLongestRequestMs(service),
            haveAllMoved: sums.movedNodes >= readiness.countLive(),
            requestsAtOld: sums.requestsAtOld,
            hasUpstream: instances.listUsable(service).some(({ instance }) =>
                instance.softwareVersion === version
            ),
        });
    }

    private createNext(record: RolloutRecord, step: RolloutStep, nowMs: number): RolloutRecord {
        const { instances, lease } = this.options;
        const others = instances.listInService(record.service)
            .map(({ instance }) => instance.softwareVersion ?? "")
            .filter(version => version !== record.version);
        return {
            ...record,
            ...step,
            phaseStoreMs: nowMs,
            replaced: step.phase === rolloutPhases.completed ? [...new Set(others)] : [],
            fencing: lease.readHeld()!.fencing,
        };
    }

    private computeLongestRequestMs(service: string): number {
        const routes = this.options.state.table.value?.configuration.routes ?? [];
        const ofService = routes.filter(({ targets }) => targets.some(target => target.service === service));
        return Math.max(0, ...ofService.map(({ timeoutMs }) => timeoutMs));
    }

    /** Writes a record and the operators' status in one transaction, and tells the nodes of it. */
    private *write(record: RolloutRecord, { revision }: StoredRecord): Task<void> {
        const { tables, tracker, createStatusWrite } = this.options;
        const condition: RowCondition = revision === 0 ? { kind: "absent" } : { kind: "revision", revision };
        const outcome = yield* waitFor(tables.transact([
            { table: recordsTable, key: record.service, condition, value: record },
            createStatusWrite(record),
        ]));
        if (outcome.kind === "conflict") {
            this.stored.delete(record.service); // another holder has written; read again
            return;
        }
        this.stored.set(record.service, { revision: outcome.revisions[0], record });
        tracker.adopt(record);
    }
}

/** Rolls a roll-out back whose order was withdrawn. */
const planWithdrawal = (state: RolloutState): RolloutStep | undefined =>
    state.isActive
        ? { phase: rolloutPhases.rolledBack, reason: "the order was withdrawn" }
        : undefined;

/** Name of the roll-out keeper service. */
export const rolloutKeeperName = createServiceName<RolloutKeeper>("rollout-keeper");
