/** A stream on a runner that is being reclaimed. */
export interface ReclaimedStream {
    readonly requestId: string;
    /** Prompt and output tokens that another runner would have to recompute. */
    readonly contextTokens: number;
    /** Expected time until the answer is complete, in milliseconds. */
    readonly remainingMs: number;
}

/** Action for a stream: finish in place, move its KV cache, or resume on another runner without the cache. */
export type ReclaimChoice = "finish" | "move-cache" | "resume-elsewhere";

/** Options of {@link planReclaim}. */
export interface PlanReclaimOptions {
    readonly streams: readonly ReclaimedStream[];
    /** Time until the runner is reclaimed, in milliseconds; undefined if unknown. */
    readonly noticeMs: number | undefined;
    /** Size of the KV cache, in bytes per token. */
    readonly bytesPerToken: number;
    /** Bandwidth of the runner's link, in bytes per millisecond. */
    readonly bytesPerMs: number;
    /** Fixed cost of one export and import, in milliseconds; default 20. */
    readonly moveOverheadMs?: number;
    /** Share of the notice period that the plan may use; default 0.8. */
    readonly noticeShare?: number;
}

/** A stream with its planned action. Moves are listed in order of execution. */
export interface PlannedStream {
    readonly requestId: string;
    readonly choice: ReclaimChoice;
}

const defaultMoveOverheadMs = 20;
const defaultNoticeShare = 0.8;

/**
 * Plans an action for each stream of a reclaimed runner, to recompute as few tokens as possible. Streams that end
 * within the notice period finish in place. Of the others, KV caches are moved in descending order of tokens saved per
 * transfer time until the notice period is used up. The remaining streams resume on another runner without their cache.
 *
 * @param options - streams, notice period and link
 * @returns one action per stream
 */
export const planReclaim = (options: PlanReclaimOptions): PlannedStream[] => {
    const noticeMs = (options.noticeMs ?? 0) * (options.noticeShare ?? defaultNoticeShare);
    const overheadMs = options.moveOverheadMs ?? defaultMoveOverheadMs;
    const finishing = options.streams.filter(stream => stream.remainingMs <= noticeMs);
    const others = options.streams.filter(stream => stream.remainingMs > noticeMs)
        .map(stream => ({
            stream,
            moveMs: overheadMs + stream.contextTokens * options.bytesPerToken / options.bytesPerMs,
        }))
        .sort((a, b) => b.stream.contextTokens / b.moveMs - a.stream.contextTokens / a.moveMs);
    const planned: PlannedStream[] = finishing.map(stream => ({
        requestId: stream.requestId,
        choice: "finish",
    }));
    let usedMs = 0;
    for (const { stream, moveMs } of others) {
        const fits = usedMs + moveMs <= noticeMs;
        usedMs += fits ? moveMs : 0;
        planned.push({ requestId: stream.requestId, choice: fits ? "move-cache" : "resume-elsewhere" });
    }
    return planned;
};
