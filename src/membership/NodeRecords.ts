import { z } from "zod";
import { retryStoreCall } from "../feeds/retryStoreCall";
import { createServiceName } from "../kernel/createServiceName";
import type { TaskScope } from "../kernel/TaskScope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { FeedFollower } from "../feeds/FeedFollower";
import { isPeerUrl } from "../peers/isPeerUrl";
import { maxNodeIdLength } from "../peers/peerMessageSchema";
import type { PeerAddress } from "../peers/types";
import type { TableService } from "../platform/types";
import { createLoggedTaskScope } from "../telemetry/createLoggedTaskScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Membership } from "./Membership";

/** Options of {@link NodeRecords}. */
export interface NodeRecordsOptions {
    readonly nodeId: string;
    readonly dataCentre: string;
    /** Web-socket URL at which members dial this node. */
    readonly peersUrl: string;
    readonly tables: TableService;
    readonly feed: FeedFollower<PeerAddress>;
    readonly membership: Pick<Membership, "setRecordedNodes" | "listLive">;
    /** Whether this node is currently responsible for removing the records of gone nodes. */
    readonly isSweeper: () => boolean;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** Table with the web-socket URL of each node. */
export const nodeRecordsTable = "nodes";

const sweepMs = 30_000;
const staleAfterMs = 600_000; // longer than an outage after which a node comes back
const rewriteMs = 500; // between two writes of the own record because it was removed or replaced
const maxTextLength = 200;
const recordSchema = z.object({
    nodeId: z.string().min(1).max(maxNodeIdLength),
    url: z.string().max(maxTextLength).refine(isPeerUrl),
    dataCentre: z.string().max(maxTextLength).optional(),
});

/**
 * Node discovery through the store. Writes this node's address, passes the addresses of all nodes to the membership,
 * and removes the records of nodes that have been gone for long. A running node whose record is removed or replaced writes
 * it again.
 */
export class NodeRecords {
    private readonly scope: TaskScope;
    /** Monotonic time since which each recorded node has not been a live member, in milliseconds. */
    private readonly missingSinceMs = new Map<string, number>();
    private isWritten = false;
    /** Monotonic time from which the own record may be written again, in milliseconds. */
    private nextRewriteMs = -Infinity;
    private isLeaving = false;

    constructor(private readonly options: NodeRecordsOptions) {
        this.scope = createLoggedTaskScope(options.events);
    }

    async start(): Promise<void> {
        const { feed, membership } = this.options;
        feed.records.onChange(() => this.adoptRecords());
        membership.setRecordedNodes(this.listRecorded());
        this.scope.run("node-record", signal => this.writeRecord(signal));
        this.scope.run("node-record-sweep", signal => this.sweep(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** Removes this node's record for a planned stop. The next start writes it again. */
    async removeOwnRecord(): Promise<void> {
        this.isLeaving = true;
        await this.removeRecord(this.options.nodeId);
    }

    private listRecorded(): PeerAddress[] {
        return [...this.options.feed.records.value?.values() ?? []];
    }

    private adoptRecords(): void {
        this.options.membership.setRecordedNodes(this.listRecorded());
        this.renewIfMissing();
    }

    private renewIfMissing(): void {
        const isRead = this.options.feed.records.value !== undefined;
        const isRecorded = this.listRecorded().some(record => this.isOwnRecord(record));
        if (isRead && this.isWritten && !isRecorded && !this.isLeaving) {
            this.isWritten = false;
            this.scope.run("node-record", signal => this.renewRecord(signal));
        }
    }

    private isOwnRecord({ nodeId, url, dataCentre }: PeerAddress): boolean {
        const { options } = this;
        return nodeId === options.nodeId && url === options.peersUrl && dataCentre === options.dataCentre;
    }

    private *sweep(signal: AbortSignal): Task<void> {
        const { clock, isSweeper } = this.options;
        while (!signal.aborted) {
            yield* waitFor(clock.sleep(sweepMs, signal));
            this.renewIfMissing(); // a removal may have come between the last write and its answer
            const stale = this.findStale();
            if (isSweeper()) {
                yield* waitFor(Promise.all(stale.map(nodeId => this.removeRecord(nodeId))));
            }
        }
    }

    /** Finds the recorded nodes that have not been live members for {@link staleAfterMs}. */
    private findStale(): string[] {
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
        return missing.filter(nodeId => nowMs - this.missingSinceMs.get(nodeId)! >= staleAfterMs);
    }

    private async removeRecord(nodeId: string): Promise<void> {
        try {
            await this.options.tables.transact([createOperation(nodeId, undefined)]);
        }
        catch (error) {
            const fields = { call: "remove node record", node: nodeId, error: String(error) };
            this.options.events.emit(eventKinds.storeFailed, fields);
        }
    }

    private *renewRecord(signal: AbortSignal): Task<void> {
        const { clock } = this.options;
        yield* waitFor(clock.sleep(Math.max(0, this.nextRewriteMs - clock.readMonotonicMs()), signal));
        this.nextRewriteMs = clock.readMonotonicMs() + rewriteMs;
        if (!signal.aborted && !this.isLeaving) {
            yield* this.writeRecord(signal);
        }
    }

    private *writeRecord(signal: AbortSignal): Task<void> {
        const { nodeId, dataCentre, peersUrl, tables, events, clock } = this.options;
        const record = { nodeId, url: peersUrl, dataCentre };
        const call = () => tables.transact([createOperation(nodeId, record)]);
        yield* waitFor(retryStoreCall({ name: "write node record", call, clock, events, signal }));
        this.isWritten = true;
    }
}

const createOperation = (
    nodeId: string,
    value: PeerAddress | undefined,
): Parameters<TableService["transact"]>[0][number] => ({
    table: nodeRecordsTable,
    key: nodeId,
    condition: { kind: "any" },
    value,
});

/**
 * Decodes a row of {@link nodeRecordsTable}.
 *
 * @param key - the row's key
 * @param value - the row's value
 * @returns the node's address, or undefined when the row is not a valid record
 */
export const decodeNodeRecord = (key: string, value: unknown): PeerAddress | undefined => {
    const record = recordSchema.safeParse(value).data;
    return record?.nodeId === key ? record : undefined;
};

/** Name of the node records service. */
export const nodeRecordsName = createServiceName<NodeRecords>("node-records");
