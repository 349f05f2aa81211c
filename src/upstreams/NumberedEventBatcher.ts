import { ChunkBuffer } from "../_lib/ChunkBuffer";
import type { NumberedEventBatch } from "./types";

const lineFeed = 0x0a;
const eventEnd = Buffer.from("\n\n");
const idPrefix = Buffer.from("id: ");
const eventBoundary = Buffer.from("\n\nid: ");
const doneEvent = Buffer.from("data: [DONE]\n\n");
const maxEventBytes = 1_048_576;

/**
 * Splits a stream of numbered server-sent events into batches of complete events. Only the ids of the first and
 * the last event of a batch are parsed.
 */
export class NumberedEventBatcher {
    private readonly incomplete = new ChunkBuffer();
    /** Whether the terminating `[DONE]` event has arrived. */
    isComplete = false;

    /**
     * Adds a chunk of the stream.
     *
     * @param chunk - bytes as received; events may span chunks
     * @returns the events completed by the chunk, or undefined if there are none
     * @throws Error if the stream is not a sequence of numbered server-sent events
     */
    push(chunk: Buffer): NumberedEventBatch | undefined {
        const end = this.findLastEnd(chunk);
        if (end === undefined) {
            this.keepIncomplete(chunk);
            return undefined;
        }
        this.incomplete.append(chunk.subarray(0, end));
        const body = this.incomplete.toBuffer();
        this.incomplete.clear();
        this.keepIncomplete(chunk.subarray(end));
        return this.toBatch(body);
    }

    /** Returns the position in a chunk after the last event that ends with it. Only the chunk's bytes are searched. */
    private findLastEnd(chunk: Buffer): number | undefined {
        const lastEnd = chunk.lastIndexOf(eventEnd);
        if (lastEnd >= 0) {
            return lastEnd + eventEnd.length;
        }
        const isSplitEnd = this.incomplete.readEnd(1)[0] === lineFeed && chunk[0] === lineFeed;
        return isSplitEnd ? 1 : undefined;
    }

    private keepIncomplete(bytes: Buffer): void {
        this.incomplete.append(bytes);
        if (this.incomplete.length > maxEventBytes) {
            throw new Error(`server-sent event exceeds ${maxEventBytes} bytes`);
        }
    }

    private toBatch(body: Buffer): NumberedEventBatch {
        assertNumberedEvents(body);
        const firstOffset = parseEventId(body, 0);
        const lastStart = body.lastIndexOf(eventBoundary, body.length - eventEnd.length - 1);
        const lastOffset = lastStart < 0 ? firstOffset : parseEventId(body, lastStart + eventEnd.length);
        this.isComplete = body.subarray(-doneEvent.length).equals(doneEvent);
        return { firstOffset, count: lastOffset - firstOffset + 1, body };
    }
}

/**
 * Checks that each event begins with its id.
 *
 * @throws Error if one does not
 */
const assertNumberedEvents = (body: Buffer): void => {
    for (let start = 0; start < body.length; start = body.indexOf(eventEnd, start) + eventEnd.length) {
        if (!hasIdAt(body, start)) {
            throw new Error("server-sent event has no id line");
        }
    }
};

const hasIdAt = (body: Buffer, start: number): boolean =>
    body.subarray(start, start + idPrefix.length).equals(idPrefix);

const parseEventId = (body: Buffer, start: number): number => {
    let position = start + idPrefix.length;
    let id = 0;
    let digits = 0;
    while (body[position] >= 0x30 && body[position] <= 0x39) {
        id = id * 10 + body[position] - 0x30;
        position += 1;
        digits += 1;
    }
    if (digits === 0) {
        throw new Error("id of a server-sent event is not a number");
    }
    return id;
};
