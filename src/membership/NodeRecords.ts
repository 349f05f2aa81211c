import { retryStoreCall } from "../feeds/retryStoreCall";
import { createServiceName } from "../kernel/createServiceName";
import type { Scope } from "../kernel/Scope";
import type { Clock, Task } from "../kernel/types";
import { waitFor } from "../kernel/waitFor";
import type { FollowedFeed } from "../feeds/FollowedFeed";
import type { PeerAddress } from "../peers/PeerNetwork";
import type { TableService } from "../platform/types";
import { createReportingScope } from "../telemetry/createReportingScope";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import type { Membership } from "./Membership";

/** Options of {@link NodeRecords}. */
export interface NodeRecordsOptions {
    readonly nodeId: string;
    /** Web-socket URL on which this node is dialled. */
    readonly peersUrl: string;
    readonly tables: TableService;
    readonly feed: FollowedFeed<PeerAddress>;
    readonly membership: Membership;
    readonly clock: Clock;
    readonly events: EventLog;
}

/** Table in which each node records where it is dialled. */
export const nodeRecordsTable = "nodes";

/** Records in the store where this node is dialled, and tells the membership where the others are. */
export class NodeRecords {
    private readonly scope: Scope;

    constructor(private readonly options: NodeRecordsOptions) {
        this.scope = createReportingScope(options.events);
    }

    async start(): Promise<void> {
        const { feed, membership } = this.options;
        feed.records.listen(records => membership.setRecorded([...records?.values() ?? []]));
        membership.setRecorded([...feed.records.value?.values() ?? []]);
        this.scope.run("node-record", signal => this.record(signal));
    }

    async stop(): Promise<void> {
        await this.scope.cancel();
    }

    /** Removes this node's record; a node that comes back writes it again. */
    async remove(): Promise<void> {
        try {
            await this.options.tables.transact([this.createWrite(undefined)]);
        }
        catch (error) {
            this.options.events.emit(eventKinds.storeFailed, {
                call: "remove node record",
                error: String(error),
            });
        }
    }

    private *record(signal: AbortSignal): Task<void> {
        const { nodeId, peersUrl, tables, events, clock } = this.options;
        const call = () => tables.transact([this.createWrite({ nodeId, url: peersUrl })]);
        yield* waitFor(retryStoreCall({ name: "write node record", call, clock, events, signal }));
    }

    private createWrite(value: PeerAddress | undefined): Parameters<TableService["transact"]>[0][number] {
        return { table: nodeRecordsTable, key: this.options.nodeId, condition: { kind: "any" }, value };
    }
}

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
