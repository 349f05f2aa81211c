/** Interfaces of the platform: table service, object store, cloud and weight store. */

import type { UsageReport } from "../usage/types";

/** Condition under which one operation of a transaction may take effect. */
export type RowCondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "revision"; readonly revision: number; }
    | { readonly kind: "any"; };

/** One operation of a transaction. `value` undefined deletes the row. */
export interface RowOperation {
    readonly table: string;
    readonly key: string;
    readonly condition: RowCondition;
    readonly value: unknown;
}

/** A stored row. `revision` grows with each write. */
export interface Row {
    readonly key: string;
    readonly revision: number;
    readonly value: unknown;
}

/** Outcome of a transaction: all operations took effect, or none and these conditions failed. */
export type TransactionOutcome =
    | { readonly kind: "committed"; readonly revisions: readonly number[]; }
    | { readonly kind: "conflict"; readonly failed: readonly number[]; };

/** Address of one row. */
export interface RowAddress {
    readonly table: string;
    readonly key: string;
}

/** The transactional table service. Every call may reject with {@link StoreError}. */
export interface TableService {
    /** Commits all operations or none. */
    transact(operations: readonly RowOperation[]): Promise<TransactionOutcome>;
    /** Reads rows; the result has one place per address. */
    read(addresses: readonly RowAddress[]): Promise<readonly (Row | undefined)[]>;
    /** Lists rows whose keys start with `prefix` and come after `after`, in key order. */
    list(table: string, prefix: string, limit: number, after?: string): Promise<readonly Row[]>;
}

/** The object store. Every call may reject with {@link StoreError}. */
export interface ObjectStore {
    put(key: string, body: Buffer): Promise<void>;
    get(key: string): Promise<Buffer | undefined>;
    list(prefix: string): Promise<readonly string[]>;
    remove(key: string): Promise<void>;
}

/** How a VM is paid for. */
export type VmMarket = "reclaimable" | "on-demand";

/** What a VM is for: an entry VM runs a node, an upstream VM a runner. */
export type VmRole = "entry" | "upstream";

/** One VM in the cloud's list. The list lags behind reality. */
export interface Vm {
    readonly id: string;
    readonly role: VmRole;
    /** Service of an upstream VM; the node's name for an entry VM. */
    readonly service: string;
    readonly dataCentre: string;
    /** Base URL of an upstream, or peers address (`ws://…`) of an entry VM. */
    readonly url: string;
    readonly state: "live" | "leaving";
    readonly market: VmMarket;
    /** Machine class, such as `gpu-a`. */
    readonly machineClass: string;
}

/** Announcement that a VM will be taken. */
export interface ReclaimNotice {
    readonly vmId: string;
    readonly dataCentre: string;
    /** Time left when the notice was read, in milliseconds. */
    readonly remainingMs: number;
}

/** Price of a machine class in a data centre, per VM and hour. */
export interface VmOffer {
    readonly dataCentre: string;
    readonly machineClass: string;
    readonly market: VmMarket;
    readonly pricePerHour: number;
}

/** A request for a VM. */
export interface VmRequest {
    /** Idempotency token of the order. */
    readonly token: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly machineClass: string;
    readonly market: VmMarket;
}

/** The cloud: VM list, reclaim notices, offers and orders. */
export interface Cloud {
    listVms(): Promise<readonly Vm[]>;
    listNotices(): Promise<readonly ReclaimNotice[]>;
    listOffers(): Promise<readonly VmOffer[]>;
    /** Resolves to undefined when the cloud refuses. */
    requestVm(request: VmRequest): Promise<Vm | undefined>;
    releaseVm(vmId: string): Promise<void>;
}

/** Order for a number of upstreams of one service in one data centre. */
export interface UpstreamOrder {
    readonly service: string;
    readonly dataCentre: string;
    readonly market: VmMarket;
    readonly count: number;
}

/** Calls to the cloud that one node at a time makes, under a fencing number that grows with each holder. */
export interface FencedCloud {
    /** Reports the usage of a window; an exact repeat is harmless. Rejects when no answer came. */
    reportUsage(report: UsageReport, fencing: number): Promise<void>;
    /** Orders upstreams; resolves to false when none are available there now. Rejects when no answer came. */
    orderUpstreams(order: UpstreamOrder, fencing: number): Promise<boolean>;
}

/** The rate-limited weight store. */
export interface WeightStore {
    /** Asks for a transfer slot; resolves to the wait in milliseconds. */
    reserveTransfer(model: string): Promise<number>;
}
