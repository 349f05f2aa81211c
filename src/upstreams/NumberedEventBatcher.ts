import type { NumberedEventBatch } from "./types";

const eventEnd = Buffer.from("\n\n");
const idStart = Buffer.from("id: ");
const nextIdStart = Buffer.from("\n\nid: ");
const doneEvent = Buffer.from("data: [DONE]\n\n");
const maxPartialBytes = 1_048_576;

/** Splits a stream of server-sent events into batches of whole events without decoding them. */
export class NumberedEventBatcher {
    private partial: Buffer | undefined;
    /** Whether the last event of the answer arrived. */
    isComplete = false;

    /**
     * Takes in bytes as they arrive.
     *
     * @param chunk - bytes of the stream
     * @returns the whole events so far, or undefined when none is complete
     * @throws Error when the bytes are not numbered server-sent events
     */
    push(chunk: Buffer): NumberedEventBatch | undefined {
        const data = this.partial ? Buffer.concat([this.partial, chunk]) : chunk;
        const lastEnd = data.lastIndexOf(eventEnd);
        if (lastEnd < 0) {
            if (data.length > maxPartialBytes) {
                throw new Error(`an event is longer than ${maxPartialBytes} bytes`);
            }
            this.partial = data;
            return undefined;
        }
        const bodyEnd = lastEnd + eventEnd.length;
        const body = data.subarray(0, bodyEnd);
        this.partial = bodyEnd < data.length ? data.subarray(bodyEnd) : undefined;
        return this.toBatch(body);
    }

    private toBatch(body: Buffer): NumberedEventBatch {
        const firstOffset = readId(body, 0);
        const lastStart = body.lastIndexOf(nextIdStart, body.length - eventEnd.length - 1);
        const lastOffset = lastStart < 0 ? firstOffset : readId(body, lastStart + eventEnd.length);
        this.isComplete = body.subarray(-doneEvent.length).equals(doneEvent);
        return { firstOffset, count: lastOffset - firstOffset + 1, body };
    }
}

const readId = (body: Buffer, start: number): number => {
    if (body.compare(idStart, 0, idStart.length, start, start + idStart.length) !== 0) {
        throw new Error("an event has no id line");
    }
    let position = start + idStart.length;
    let id = 0;
    let digits = 0;
    while (body[position] >= 0x30 && body[position] <= 0x39) {
        id = id * 10 + body[position] - 0x30;
        position += 1;
        digits += 1;
    }
    if (digits === 0) {
        throw new Error("an event id is not a number");
    }
    return id;
};
