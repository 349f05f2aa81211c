import type { NumberedEventBatch } from "../upstreams/types";
import type { StreamMemory } from "./StreamMemory";

const eventEnd = "\n\n";
const firstCapacity = 2_048; // bytes; doubles as the answer grows

/** What became of an appended batch. */
export type AppendOutcome = "appended" | "duplicate" | "gap";

/**
 * The events of one answer, in order and without gaps. Readers keep a byte position and read on from it.
 */
export class StreamLog {
    private buffer = Buffer.allocUnsafe(0);
    private used = 0;
    private next = 0;
    private finished = false;
    private readonly readers = new Set<() => void>();

    constructor(private readonly memory: StreamMemory) {}

    /** Offset of the next event. */
    get nextOffset(): number {
        return this.next;
    }

    /** Number of bytes held. */
    get byteLength(): number {
        return this.used;
    }

    /** Whether no more events follow. */
    get isComplete(): boolean {
        return this.finished;
    }

    /**
     * Appends a batch. Events that are already held are left out.
     *
     * @param batch - consecutive events
     * @returns whether it brought news, only what was held, or left a gap
     */
    append(batch: NumberedEventBatch): AppendOutcome {
        if (batch.firstOffset > this.next) {
            return "gap";
        }
        const known = this.next - batch.firstOffset;
        if (known >= batch.count) {
            return "duplicate";
        }
        const body = known === 0 ? batch.body : batch.body.subarray(findEventStart(batch.body, known));
        this.reserve(body.length);
        body.copy(this.buffer, this.used);
        this.used += body.length;
        this.next = batch.firstOffset + batch.count;
        this.notify();
        return "appended";
    }

    /** Marks the answer as complete. */
    complete(): void {
        this.finished = true;
        this.notify();
    }

    /** Wakes the readers, for instance when the request ended without its last event. */
    notify(): void {
        for (const reader of this.readers) {
            reader();
        }
    }

    /**
     * Reads bytes from a position to the end.
     *
     * @param position - byte position
     * @returns a view; its bytes do not change
     */
    read(position: number): Buffer {
        return this.buffer.subarray(position, this.used);
    }

    /** Byte position of an event. */
    findPosition(offset: number): number {
        return findEventStart(this.buffer.subarray(0, this.used), offset);
    }

    /**
     * Adds a listener for new events.
     *
     * @param reader - called after each change
     * @returns removes the listener
     */
    subscribe(reader: () => void): () => void {
        this.readers.add(reader);
        return () => this.readers.delete(reader);
    }

    /** Gives the memory back. */
    free(): void {
        this.memory.release(this.buffer.length);
        this.buffer = Buffer.allocUnsafe(0);
        this.used = 0;
    }

    private reserve(bytes: number): void {
        const needed = this.used + bytes;
        if (needed <= this.buffer.length) {
            return;
        }
        const capacity = Math.max(firstCapacity, 2 ** Math.ceil(Math.log2(needed)));
        const grown = Buffer.allocUnsafeSlow(capacity);
        this.buffer.copy(grown, 0, 0, this.used);
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
