/** Interfaces of the platform's services: table service, object store, cloud and weight store. */

import type { UsageReport } from "../usage/types";

/** Precondition of one operation of a transaction: the row is absent, has this revision, or is in any state. */
export type RowCondition =
    | { readonly kind: "absent"; }
    | { readonly kind: "revision"; readonly revision: number; }
    | { readonly kind: "any"; };

/** One operation of a transaction: writes the row, or deletes it if `value` is undefined. */
export interface RowOperation {
    readonly table: string;
    readonly key: string;
    readonly condition: RowCondition;
    readonly value: unknown;
}

/** A stored row. `revision` increases with each write, also across the removal of the row. */
export interface Row {
    readonly key: string;
    readonly revision: number;
    readonly value: unknown;
}

/**
 * Outcome of a transaction: either all operations took effect, with one revision each, or none did, and `failed` has
 * the indexes of the operations whose conditions did not hold.
 */
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
    /** Reads rows; the result has one element per address, undefined for absent rows. */
    read(addresses: readonly RowAddress[]): Promise<readonly (Row | undefined)[]>;
    /** Lists at most `limit` rows in key order whose keys start with `prefix` and are greater than `after`. */
    list(table: string, prefix: string, limit: number, after?: string): Promise<readonly Row[]>;
}

/** The object store. Every call may reject with {@link StoreError}. */
export interface ObjectStore {
    put(key: string, body: Buffer): Promise<void>;
    /** Resolves to undefined if there is no such object. */
    get(key: string): Promise<Buffer | undefined>;
    /** Lists the keys that start with `prefix`. */
    list(prefix: string): Promise<readonly string[]>;
    remove(key: string): Promise<void>;
}

/** Market in which a VM is bought. Reclaimable VMs may be taken back by the cloud at short notice. */
export type VmMarket = "reclaimable" | "on-demand";

/** Purpose of a VM: an entry VM runs a node of this system, an upstream VM runs a model engine or a plain service. */
export type VmRole = "entry" | "upstream";

/** One VM in the cloud's list. The list lags behind the actual state. */
export interface Vm {
    readonly id: string;
    readonly role: VmRole;
    /** Service that an upstream VM runs, or the node's name for an entry VM. */
    readonly service: string;
    readonly dataCentre: string;
    /** Base URL of an upstream VM, or address for peers (`ws://…`) of an entry VM. */
    readonly url: string;
    readonly state: "live" | "leaving";
    readonly market: VmMarket;
    /** Machine class, such as `gpu-a`. */
    readonly machineClass: string;
}

/** Notice that the cloud will reclaim a VM. */
export interface ReclaimNotice {
    readonly vmId: string;
    readonly dataCentre: string;
    /** Time until the reclaim when the notice was read, in milliseconds. */
    readonly remainingMs: number;
}

/** Price of a machine class in a data centre, per VM and hour. */
export interface VmOffer {
    readonly dataCentre: string;
    readonly machineClass: string;
    readonly market: VmMarket;
    readonly pricePerHour: number;
}

/** A request for a new VM. */
export interface VmRequest {
    /** Idempotency token of the request. */
    readonly token: string;
    readonly service: string;
    readonly dataCentre: string;
    readonly machineClass: string;
    readonly market: VmMarket;
}

/** The cloud API: VM list, reclaim notices, offers, and orders of VMs, which only the holder of a lease makes. */
export interface Cloud {
    listVms(): Promise<readonly Vm[]>;
    listNotices(): Promise<readonly ReclaimNotice[]>;
    listOffers(): Promise<readonly VmOffer[]>;
    /** Resolves to undefined if the cloud refuses the request. */
    requestVm(request: VmRequest, stages: DutyStages): Promise<Vm | undefined>;
    releaseVm(vmId: string, stages: DutyStages): Promise<void>;
}

/** Desired number of upstreams of one service in one data centre and market. */
export interface UpstreamOrder {
    readonly service: string;
    readonly dataCentre: string;
    readonly market: VmMarket;
    readonly count: number;
}

/** Steps of a call at which its caller can still stop it. */
export interface CallStages {
    /** Called when the connection is open. Rejects if the call must not be written. */
    onConnected(): Promise<void>;
    /** Called right before the call is written. Throws if it must not be written. */
    onWrite(): void;
}

/** Steps of a call that only the holder of a lease makes. */
export interface DutyStages extends CallStages {
    /** Aborts when the call must be given up, so that no more of it arrives. */
    readonly signal: AbortSignal;
}

/**
 * Calls to the cloud that only the holder of a lease makes, one node at a time. `fencing` is the lease's fencing token,
 * which increases with each holder. Calls reject with {@link StoreError} if no answer arrives.
 */
export interface FencedCloud {
    /** Reports the usage of a window; idempotent. */
    reportUsage(report: UsageReport, fencing: number, stages: DutyStages): Promise<void>;
    /** Orders upstreams; resolves to false if none are available there now. */
    orderUpstreams(order: UpstreamOrder, fencing: number, stages: DutyStages): Promise<boolean>;
}

/** Store of model weights with a limited transfer rate. */
export interface WeightStore {
    /** Reserves a transfer slot; resolves to the time until it begins, in milliseconds. */
    reserveTransfer(model: string): Promise<number>;
}
