import { retryStoreCall } from "../feeds/retryStoreCall";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { FeedFollower } from "../feeds/FeedFollower";
import type { PeerAddress } from "../peers/PeerNetwork";
import type { TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Membership } from "./Membership";

/** Options of {@link NodeRecords}. */
export interface NodeRecordsOptions {
    readonly nodeId: string;
    /** Web-socket URL on which this node is dialled. */
    readonly peersUrl: string;
    readonly tables: TableService;
    readonly feed: FeedFollower<PeerAddress>;
    readonly membership: Pick<Membership, "setRecorded" | "listLive">;
    /** Whether this node is one of the few that remove the records of nodes that are gone. */
    readonly isSweeper: () => boolean;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** Table in which each node records where it is dialled. */
export const nodeRecordsTable = "nodes";

const sweepMs = 30_000;
const forgottenAfterMs = 600_000; // longer than an outage after which a node comes back

/**
 * Records in the store where this node is dialled, tells the membership where the others are, and removes the records of
 * nodes that are gone for good. A node whose record was removed though it lives writes it again.
 */
export class NodeRecords {
    private readonly scope: TaskScope;
    /** Monotonic time since which recorded nodes have not been live members, in milliseconds. */
    private readonly missingSinceMs = new Map<string, number>();
    private isWritten = false;
    private isLeaving = false;

    constructor(private readonly options: NodeRecordsOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        const { feed, membership } = this.options;
        feed.records.onChange(() => this.adoptRecords());
        membership.setRecorded(this.listRecorded());
        this.scope.run("node-record", signal => this.record(signal));
        this.scope.run("node-record-sweep", signal => this.sweep(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** Removes this node's record; a node that comes back writes it again. */
    async removeOwnRecord(): Promise<void> {
        this.isLeaving = true;
        await this.removeRecord(this.options.nodeId);
    }

    private listRecorded(): PeerAddress[] {
        return [...this.options.feed.records.value?.values() ?? []];
    }

    private adoptRecords(): void {
        const recorded = this.listRecorded();
        this.options.membership.setRecorded(recorded);
        const isRecorded = recorded.some(({ nodeId }) => nodeId === this.options.nodeId);
        if (this.isWritten && !isRecorded && !this.isLeaving) {
            this.isWritten = false;
            this.scope.run("node-record", signal => this.record(signal));
        }
    }

    private *sweep(signal: AbortSignal): Task<void> {
        const { clock, isSweeper } = this.options;
        while (!signal.aborted) {
            yield* waitFor(clock.sleep(sweepMs, signal));
            const forgotten = this.findForgotten();
            if (isSweeper()) {
                yield* waitFor(Promise.all(forgotten.map(nodeId => this.removeRecord(nodeId))));
            }
        }
    }

    /** Finds the recorded nodes that have not been live for so long that they count as gone for good. */
    private findForgotten(): string[] {
        const nowMs = this.options.clock.readMonotonicMs();
        const live = new Set(this.options.membership.listLive().map(member => member.nodeId));
        const missing = this.listRecorded().map(({ nodeId }) => nodeId).filter(nodeId => !live.has(nodeId));
        for (const nodeId of this.missingSinceMs.keys()) {
            if (!missing.includes(nodeId)) {
                this.missingSinceMs.delete(nodeId);
            }
        }
        for (const nodeId of missing) {
            this.missingSinceMs.set(nodeId, this.missingSinceMs.get(nodeId) ?? nowMs);
        }
        return missing.filter(nodeId => nowMs - this.missingSinceMs.get(nodeId)! >= forgottenAfterMs);
    }

    private async removeRecord(nodeId: string): Promise<void> {
        try {
            await this.options.tables.transact([createWrite(nodeId, undefined)]);
        }
        catch (error) {
            const fields = { call: "remove node record", node: nodeId, error: String(error) };
            this.options.events.emit(eventKinds.storeFailed, fields);
        }
    }

    private *record(signal: AbortSignal): Task<void> {
        const { nodeId, peersUrl, tables, events, clock } = this.options;
        const call = () => tables.transact([createWrite(nodeId, { nodeId, url: peersUrl })]);
        yield* waitFor(retryStoreCall({ name: "write node record", call, clock, events, signal }));
        this.isWritten = true;
    }
}

const createWrite = (
    nodeId: string,
    value: PeerAddress | undefined,
): Parameters<TableService["transact"]>[0][number] => ({
    table: nodeRecordsTable,
    key: nodeId,
    condition: { kind: "any" },
    value,
});

/**
 * Decodes a node's record.
 *
 * @param key - the row's key
 * @param value - the row's value
 * @returns the node's address, or undefined when the row is none
 */
export const decodeNodeRecord = (key: string, value: unknown): PeerAddress | undefined => {
    const record = value as Partial<PeerAddress> | undefined;
    return record?.nodeId === key && typeof record.url === "string"
        ? { nodeId: key, url: record.url }
        : undefined;
};

/** Name of the node records service. */
export const nodeRecordsName = createServiceName<NodeRecords>("node-records");
