import type { BegunStream, StreamOrigin } from "./types";

const defaultMaxStreams = 50_000;

/**
 * Origins of the streams that have begun lately. Each is kept for at least the given time, unless there are more than a
 * limit, and for at most twice that time.
 */
export class RecentStreams {
    private current = new Map<string, StreamOrigin>();
    private previous = new Map<string, StreamOrigin>();
    private rotatedMs = -Infinity;

    /**
     * @param maxStreams - number of streams after which the older ones are dropped early; up to twice as many are kept
     */
    constructor(private readonly maxStreams: number = defaultMaxStreams) {}

    /** Adds a stream, or keeps it for longer. */
    add(requestId: string, origin: StreamOrigin, nowMs: number, keptMs: number): void {
        if (nowMs - this.rotatedMs >= keptMs || this.current.size >= this.maxStreams) {
            const isOutdated = nowMs - this.rotatedMs >= 2 * keptMs;
            this.previous = isOutdated ? new Map() : this.current;
            this.current = new Map();
            this.rotatedMs = nowMs;
        }
        this.current.set(requestId, origin);
    }

    /** Removes and returns all streams. */
    takeAll(): BegunStream[] {
        const all = [...this.previous, ...this.current].map(([requestId, origin]) => ({
            requestId,
            ...origin,
        }));
        this.previous = new Map();
        this.current = new Map();
        return all;
    }

    /** Returns the origin of a stream; undefined if it is not known or was dropped. */
    find(requestId: string): StreamOrigin | undefined {
        return this.current.get(requestId) ?? this.previous.get(requestId);
    }
}
