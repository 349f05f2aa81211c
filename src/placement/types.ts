/** Types for choosing the upstream of a forwarded request. */

import type { VmMarket } from "../platform/types";

/** Data of one usable upstream for a placement decision. */
export interface UpstreamView {
    readonly id: string;
    readonly dataCentre: string;
    /** Requests that the upstream can run concurrently. */
    readonly slots: number;
    /** Requests in flight from this node and, as last reported, from the other nodes. */
    readonly inFlight: number;
}

/** Data of one request for a placement decision. */
export interface PlacementRequest {
    /** Service of the request. */
    readonly service: string;
    /** Key that is equal for requests with a common prompt prefix; undefined for requests without a prompt. */
    readonly affinityKey: string | undefined;
}

/** Chooses the upstream of a request. */
export interface PlacementPolicy {
    /** Returns one of the views, or undefined if there are none. */
    choose(request: PlacementRequest, views: readonly UpstreamView[]): UpstreamView | undefined;
}

/** Identifies one start of an upstream. */
export type UpstreamStart = Pick<UpstreamInstance, "id" | "startedAtMs">;

/** An upstream as the platform lists it. */
export interface UpstreamInstance {
    /** Unique for each start of the upstream, with rare exceptions; see {@link startedAtMs}. */
    readonly id: string;
    readonly service: string;
    /** Host and port. */
    readonly address: string;
    readonly dataCentre: string;
    /** Version of the software that it runs; undefined in readings of members of older versions. */
    readonly softwareVersion?: string;
    /** Requests that the upstream can run concurrently. */
    readonly slots: number;
    /** Whether it has announced that it will stop. */
    readonly isLeaving: boolean;
    readonly market: VmMarket;
    /** Time until its VM is reclaimed, in milliseconds; undefined if the platform announced none. */
    readonly leavesInMs?: number;
    /** Wall-clock time of its start, in milliseconds; distinguishes two starts with the same id. */
    readonly startedAtMs?: number;
}
