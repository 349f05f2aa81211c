import type { Clock } from "../kernel/types";
import type { BrittleServices } from "./BrittleServices";
import type { TrackedInstance } from "./createTrackedInstance";
import type { UpstreamLimits } from "./UpstreamLimits";

/** Options of {@link UnreadRequests}. */
export interface UnreadRequestsOptions {
    readonly clock: Clock;
    readonly limits: Pick<UpstreamLimits, "isLimited" | "readMaxUnread">;
    readonly brittle: Pick<BrittleServices, "isBrittle">;
}

/**
 * Requests that were given up and that their upstream may still read, all at once: they take places at brittle upstreams, and
 * at those that state a limit.
 */
export class UnreadRequests {
    constructor(private readonly options: UnreadRequestsOptions) {}

    /**
     * Records a request that was given up. A brittle upstream that has not read its end runs it on; for one that states a
     * limit, only requests that it has not read count.
     *
     * @param tracked - upstream of the request
     * @param sentMs - when it was sent, by the monotonic clock
     */
    record({ instance, answeredSentMs, givenUp }: TrackedInstance, sentMs: number): void {
        const { brittle, clock, limits } = this.options;
        const isUnread = limits.isLimited(instance) && answeredSentMs < sentMs;
        if (isUnread || brittle.isBrittle(instance.service)) {
            givenUp.add(clock.readMonotonicMs());
        }
    }

    /**
     * Whether this node may send an upstream a request beside those that it may still read.
     *
     * @param tracked - the upstream
     * @param places - this node's places there; undefined if these are not limited
     */
    hasRoom(tracked: TrackedInstance, places: number | undefined): boolean {
        const maxUnread = this.options.limits.readMaxUnread(tracked.instance);
        return this.hasPlace(tracked, places)
            && (maxUnread === undefined || this.hasPlace(tracked, tracked.inFlight + maxUnread));
    }

    private hasPlace({ givenUp, inFlight, answeredSentMs }: TrackedInstance, places?: number): boolean {
        const nowMs = this.options.clock.readMonotonicMs();
        return places === undefined || givenUp.hasPlace({ places, inFlight, answeredSentMs, nowMs });
    }
}
