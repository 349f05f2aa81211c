import { z } from "zod";
import { createServiceName } from "../kernel/createServiceName";
import type { Clock } from "../kernel/types";
import type { PeerReports, ReportTopic } from "../peers/PeerReports";
import type { EventLog } from "../telemetry/EventLog";
import { eventKinds } from "../telemetry/eventKinds";
import { computeRateShare, type ComputeRateShareOptions } from "./computeRateShare";
import { type HeardState, HeardStates } from "./HeardStates";
import { formatStartKey } from "./formatStartKey";
import type { UpstreamStart } from "./types";

/** Options of {@link UpstreamLimits}. */
export interface UpstreamLimitsOptions {
    readonly reports: Pick<PeerReports, "publish" | "listen">;
    /** Reads this node's place among the nodes that may use an upstream, by a name that is the same on all nodes. */
    readonly readNodes: (name: string) => Omit<ComputeRateShareOptions, "limitPerS">;
    readonly clock: Clock;
    readonly events: EventLog;
}

interface LimitReport extends UpstreamStart {
    /** Undefined if the upstream no longer states a limit. */
    readonly limitPerS?: number;
}

interface StatedLimit extends HeardState {
    limitPerS: number;
    /** Requests a second of this node. */
    ratePerS: number;
    rateReadMs: number;
    /** Part of a request that this node may send; at most 1. */
    saved: number;
    savedMs: number;
}

const topic: ReportTopic<LimitReport> = {
    name: "upstream-limit",
    schema: z.object({
        id: z.string(),
        startedAtMs: z.number().optional(),
        limitPerS: z.number().nonnegative().optional(),
    }),
};
const changedShare = 0.1;
const rateReadMs = 250;
const msPerSecond = 1_000;
const maxUnreadSeconds = 1; // of a node's rate

/**
 * Keeps the requests of all nodes to an upstream within the limit that it states in its answers. A node that hears a
 * limit tells the others, and each uses its part of it; see {@link computeRateShare}.
 */
export class UpstreamLimits {
    private readonly limits: HeardStates<StatedLimit>;

    constructor(private readonly options: UpstreamLimitsOptions) {
        this.limits = new HeardStates(options.clock);
    }

    async start(): Promise<void> {
        this.options.reports.listen(topic, report => this.receive(report));
    }

    /** Records the limit that an upstream states in an answer, in requests a second; undefined if it states none. */
    observe(upstream: UpstreamStart, limitPerS: number | undefined): void {
        if (limitPerS === undefined) {
            this.observeNone(upstream);
            return;
        }
        const known = this.find(upstream);
        const isNews = !known || this.limits.isNews(known)
            || Math.abs(limitPerS - known.limitPerS) > known.limitPerS * changedShare;
        this.adopt(upstream, limitPerS);
        if (isNews) {
            const { id, startedAtMs } = upstream;
            this.options.reports.publish(topic, { id, startedAtMs, limitPerS });
        }
    }

    /**
     * Returns the time until this node may send an upstream a request.
     *
     * @returns milliseconds; 0 if it may now
     */
    readWaitMs(upstream: UpstreamStart): number {
        const limit = this.find(upstream);
        if (!limit) {
            return 0;
        }
        this.refresh(upstream, limit);
        if (limit.saved >= 1) {
            return 0;
        }
        return limit.ratePerS > 0
            ? (1 - limit.saved) / limit.ratePerS * msPerSecond
            : msPerSecond / Math.max(1, limit.limitPerS); // another node may send it one by then
    }

    /**
     * Returns the number of requests that this node may have given up at an upstream that may not have read them: it may take
     * them all at once.
     *
     * @returns at least 1; undefined if the upstream states no limit
     */
    readMaxUnread(upstream: UpstreamStart): number | undefined {
        const limit = this.find(upstream);
        if (!limit) {
            return undefined;
        }
        this.refresh(upstream, limit);
        return Math.max(1, Math.ceil(limit.ratePerS * maxUnreadSeconds));
    }

    /** Whether an upstream states a limit. */
    isLimited(upstream: UpstreamStart): boolean {
        return this.find(upstream) !== undefined;
    }

    /** Counts a request that is sent to an upstream. */
    take(upstream: UpstreamStart): void {
        const limit = this.find(upstream);
        if (limit) {
            this.refresh(upstream, limit);
            limit.saved -= 1;
        }
    }

    private observeNone(upstream: UpstreamStart): void {
        if (this.drop(upstream)) {
            const { id, startedAtMs } = upstream;
            this.options.reports.publish(topic, { id, startedAtMs });
        }
    }

    private receive({ limitPerS, ...upstream }: LimitReport): void {
        if (limitPerS === undefined) {
            this.drop(upstream);
        }
        else {
            this.adopt(upstream, limitPerS);
        }
    }

    private adopt(upstream: UpstreamStart, limitPerS: number): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const known = this.find(upstream);
        if (known) {
            this.refresh(upstream, known);
            known.limitPerS = limitPerS;
            known.heardMs = nowMs;
            return;
        }
        this.limits.add(formatStartKey(upstream), {
            limitPerS,
            heardMs: nowMs,
            ratePerS: 0,
            rateReadMs: -Infinity,
            saved: 0,
            savedMs: nowMs,
        });
        this.options.events.emit(eventKinds.upstreamLimited, { upstream: upstream.id, limitPerS });
    }

    /** Drops the limit of an upstream, unless it was heard a moment ago; returns whether there was one. */
    private drop(upstream: UpstreamStart): boolean {
        if (this.limits.isEmpty() || !this.limits.drop(formatStartKey(upstream))) {
            return false;
        }
        this.options.events.emit(eventKinds.upstreamLimited, { upstream: upstream.id });
        return true;
    }

    private find(upstream: UpstreamStart): StatedLimit | undefined {
        return this.limits.isEmpty() ? undefined : this.limits.find(formatStartKey(upstream));
    }

    /** Adds what this node may send since the last call. */
    private refresh(upstream: UpstreamStart, limit: StatedLimit): void {
        const nowMs = this.options.clock.readMonotonicMs();
        const gained = limit.ratePerS * (nowMs - limit.savedMs) / msPerSecond;
        limit.saved = Math.min(1, limit.saved + gained);
        limit.savedMs = nowMs;
        if (nowMs - limit.rateReadMs >= rateReadMs) {
            const { limitPerS } = limit;
            limit.ratePerS = computeRateShare({
                limitPerS,
                ...this.options.readNodes(formatStartKey(upstream)),
            });
            limit.rateReadMs = nowMs;
        }
    }
}

/** Name of the upstream limits service. */
export const upstreamLimitsName = createServiceName<UpstreamLimits>("upstream-limits");
