/** A stream on a runner that is being reclaimed. */
export interface ReclaimedStream {
    readonly requestId: string;
    /** Prompt and produced tokens that would be computed again elsewhere. */
    readonly contextTokens: number;
    /** Expected time until the answer is whole, in milliseconds. */
    readonly remainingMs: number;
}

/** What happens to a stream. */
export type ReclaimChoice = "finish" | "move-cache" | "resume-elsewhere";

/** Options of {@link planReclaim}. */
export interface PlanReclaimOptions {
    readonly streams: readonly ReclaimedStream[];
    /** Time until the runner is taken, in milliseconds; undefined when it is not known. */
    readonly noticeMs: number | undefined;
    /** Size of the KV cache, in bytes per token. */
    readonly bytesPerToken: number;
    /** Bandwidth of the runner's link, in bytes per millisecond. */
    readonly bytesPerMs: number;
    /** Fixed cost of one export and import, in milliseconds; default 20. */
    readonly moveOverheadMs?: number;
    /** Share of the notice that plans may use; default 0.8. */
    readonly noticeShare?: number;
}

/** A planned stream; moves are listed in the order in which they are to be made. */
export interface PlannedStream {
    readonly requestId: string;
    readonly choice: ReclaimChoice;
}

const defaultMoveOverheadMs = 20;
const defaultNoticeShare = 0.8;

/**
 * Plans what happens to each stream of a reclaimed runner, so that the fewest tokens are computed again:
 * what ends in time finishes in place, then caches are moved in order of tokens saved per time on the link
 * until the notice is used up, the rest resumes elsewhere.
 *
 * @param options - streams, notice and link
 * @returns one choice per stream
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
