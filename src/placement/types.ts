/** Plain data of the choice of an upstream for a forwarded request. */

import type { VmMarket } from "../platform/types";

/** One usable upstream, as the choice sees it. */
export interface UpstreamView {
    readonly id: string;
    readonly dataCentre: string;
    /** Requests that it works on at once. */
    readonly slots: number;
    /** Requests of this node and, as last reported, of the other nodes. */
    readonly inFlight: number;
}

/** What the choice needs to know of a request. */
export interface PlacementRequest {
    /** Text by which requests with a common prompt prefix are kept together; undefined for plain services. */
    readonly affinityKey: string | undefined;
}

/** Chooses an upstream. */
export interface PlacementPolicy {
    /** Returns one of the views, or undefined when there is none. */
    choose(request: PlacementRequest, views: readonly UpstreamView[]): UpstreamView | undefined;
}

/** An upstream as the platform lists it. */
export interface UpstreamInstance {
    /** Differs for each start, with rare exceptions. */
    readonly id: string;
    readonly service: string;
    /** Host and port. */
    readonly address: string;
    readonly dataCentre: string;
    /** Requests that it works on at once. */
    readonly slots: number;
    /** Whether it has announced that it will stop. */
    readonly isLeaving: boolean;
    readonly market: VmMarket;
    /** Time until it is taken, when the platform said so, in milliseconds. */
    readonly leavesInMs?: number;
    /** Wall-clock time of its start, in milliseconds; tells two starts under one id apart. */
    readonly startedAtMs?: number;
}
