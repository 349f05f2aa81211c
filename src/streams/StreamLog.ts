import type { NumberedEventBatch } from "../upstreams/types";
import type { StreamMemory } from "./StreamMemory";

const eventEnd = "\n\n";
const initialCapacity = 2_048; // bytes; doubles as the answer grows

/** Outcome of {@link StreamLog.append}: the batch had new events, only known ones, or left a gap. */
export type AppendOutcome = "appended" | "duplicate" | "gap";

/**
 * Events of one answer, in order and without gaps. Each reader keeps its own byte position.
 */
export class StreamLog {
    private buffer = Buffer.allocUnsafe(0);
    private usedBytes = 0;
    private eventCount = 0;
    private isFinished = false;
    private readonly listeners = new Set<() => void>();

    constructor(private readonly memory: StreamMemory) {}

    /** Offset of the next event. */
    get nextOffset(): number {
        return this.eventCount;
    }

    /** Number of bytes held. */
    get byteLength(): number {
        return this.usedBytes;
    }

    /** Whether the answer is complete. */
    get isComplete(): boolean {
        return this.isFinished;
    }

    /**
     * Appends a batch, without the events that are already in the log.
     *
     * @param batch - consecutive events
     * @returns `appended`; `duplicate` if all its events are known; `gap` if events before it are missing
     */
    append(batch: NumberedEventBatch): AppendOutcome {
        if (batch.firstOffset > this.eventCount) {
            return "gap";
        }
        const known = this.eventCount - batch.firstOffset;
        if (known >= batch.count) {
            return "duplicate";
        }
        const body = known === 0 ? batch.body : batch.body.subarray(findEventStart(batch.body, known));
        this.reserve(body.length);
        body.copy(this.buffer, this.usedBytes);
        this.usedBytes += body.length;
        this.eventCount = batch.firstOffset + batch.count;
        this.notify();
        return "appended";
    }

    /** Marks the answer as complete. */
    complete(): void {
        this.isFinished = true;
        this.notify();
    }

    /** Calls the listeners. Also used when a request ends without its last event. */
    notify(): void {
        for (const listener of this.listeners) {
            listener();
        }
    }

    /**
     * Reads all bytes from a position on.
     *
     * @param position - byte position
     * @returns a view; its bytes do not change
     */
    read(position: number): Buffer {
        return this.buffer.subarray(position, this.usedBytes);
    }

    /** Returns the byte position of an event. */
    findPosition(offset: number): number {
        return findEventStart(this.buffer.subarray(0, this.usedBytes), offset);
    }

    /**
     * Adds a listener for new events and for the end of the answer.
     *
     * @param listener - called after each change
     * @returns function that removes the listener
     */
    subscribe(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Releases the memory of the log. */
    free(): void {
        this.memory.release(this.buffer.length);
        this.buffer = Buffer.allocUnsafe(0);
        this.usedBytes = 0;
    }

    private reserve(bytes: number): void {
        const needed = this.usedBytes + bytes;
        if (needed <= this.buffer.length) {
            return;
        }
        const capacity = Math.max(initialCapacity, 2 ** Math.ceil(Math.log2(needed)));
        const grown = Buffer.allocUnsafeSlow(capacity);
        this.buffer.copy(grown, 0, 0, this.usedBytes);
        this.memory.reserve(capacity - this.buffer.length);
        this.buffer = grown;
    }
}

const findEventStart = (body: Buffer, events: number): number => {
    let position = 0;
    for (let index = 0; index < events; index += 1) {
        position = body.indexOf(eventEnd, position, "latin1") + eventEnd.length;
    }
    return position;
};
