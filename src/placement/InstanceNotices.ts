import { dropOldest } from "../_lib/dropOldest";
import { formatStartKey } from "./formatStartKey";
import type { UpstreamStart } from "./types";

interface Notice {
    isLeaving: boolean;
    /** Monotonic time until which the upstream asked for no requests, in milliseconds. */
    refusesUntilMs: number;
}

const maxNotices = 4_096; // bounds the memory; the oldest are dropped first

/**
 * What upstreams stated about themselves: that they are leaving, and until when they accept no requests. A statement
 * holds for one start of an upstream, even if the store no longer lists the upstream or lists an older state of it.
 */
export class InstanceNotices {
    private readonly notices = new Map<string, Notice>();

    /** Records that an upstream is leaving; returns false if that was known. */
    markLeaving(instance: UpstreamStart): boolean {
        const notice = this.getOrCreate(instance);
        const isNew = !notice.isLeaving;
        notice.isLeaving = true;
        return isNew;
    }

    /** Whether the upstream has stated that it is leaving. */
    isLeaving(instance: UpstreamStart): boolean {
        return this.notices.get(formatStartKey(instance))?.isLeaving ?? false;
    }

    /**
     * Records that an upstream accepts no requests for a time. An earlier statement is not shortened.
     *
     * @param instance - the upstream
     * @param untilMs - monotonic end of that time, in milliseconds
     */
    refuseUntil(instance: UpstreamStart, untilMs: number): void {
        const notice = this.getOrCreate(instance);
        notice.refusesUntilMs = Math.max(notice.refusesUntilMs, untilMs);
    }

    /** Monotonic time until which the upstream accepts no requests, in milliseconds; -Infinity if it stated none. */
    readRefusedUntilMs(instance: UpstreamStart): number {
        return this.notices.get(formatStartKey(instance))?.refusesUntilMs ?? -Infinity;
    }

    private getOrCreate(instance: UpstreamStart): Notice {
        const key = formatStartKey(instance);
        const known = this.notices.get(key);
        if (known) {
            return known;
        }
        const notice = { isLeaving: false, refusesUntilMs: -Infinity };
        this.notices.set(key, notice);
        dropOldest(this.notices, maxNotices);
        return notice;
    }
}
