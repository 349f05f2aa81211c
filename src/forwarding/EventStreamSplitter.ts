import { ChunkBuffer } from "../_lib/ChunkBuffer";
import { QuietEventLimit } from "./QuietEventLimit";

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = "id:";
const maxEventBytes = 1_048_576;
const maxEventLines = 16_384;
const contentField = /^(?:data|event)(?::|\r?$)/;
const eventField = /^(?:(?:id|data|event|retry)(?::|\r?$)|:)/; // a comment has an empty name
const fieldLine = /^[\w-]*(?::|\r?$)/; // name and value, a name alone, a comment, or the blank line
const maxSeparatorBytes = 3;
const noEvents = { bytes: Buffer.alloc(0), eventCount: 0 } as const;
const blankLine = /^\r*$/;

/** Complete events of a stream. */
export interface EventBatch {
    readonly bytes: Buffer;
    /** Number of the events that have an id. */
    readonly eventCount: number;
}

/**
 * Splits a stream of server-sent events into complete events. Only complete events are relayed, so a stream that breaks
 * within an event can be resumed on another upstream. Events up to a given id are skipped.
 */
export class EventStreamSplitter {
    private readonly incomplete = new ChunkBuffer();
    /** Id of the last complete event; undefined before the first. */
    lastEventId: number | undefined;
    /**
     * Whether bytes have arrived that are no events: a block without a field of an event, with a line that is no field, or
     * one that is too long; or too many events that tell nothing.
     */
    isForeign = false;

    private readonly quiet: QuietEventLimit;

    /** @param after - id up to which events are skipped; undefined skips none */
    constructor(after?: number) {
        this.lastEventId = after;
        this.quiet = new QuietEventLimit(after ?? 0);
    }

    /** Bytes of the event that is not complete yet. */
    get incompleteEvent(): Buffer {
        return this.incomplete.toBuffer();
    }

    /** Whether the bytes so far end inside an event. Line ends between events belong to none. */
    get isInsideEvent(): boolean {
        return this.incompleteEvent.some(byte => byte !== lineFeed && byte !== carriageReturn);
    }

    /**
     * Adds a chunk of the stream.
     *
     * @param chunk - next bytes of the stream
     * @returns the events that are complete now
     */
    push(chunk: Buffer): EventBatch {
        return this.hasEventEnd(chunk)
            ? this.splitEvents(this.joinIncomplete(chunk))
            : this.keepIncomplete(chunk);
    }

    /** Whether an event ends with a chunk. Only the chunk is searched, and what may have begun before it. */
    private hasEventEnd(chunk: Buffer): boolean {
        return findEventEnd(chunk, 0) > 0 || findEventEnd(this.joinBorder(chunk), 0) > 0;
    }

    /** Joins the last bytes before a chunk and its first ones, between which a separator may be split. */
    private joinBorder(chunk: Buffer): Buffer {
        const before = this.incomplete.readEnd(maxSeparatorBytes - 1);
        return Buffer.concat([before, chunk.subarray(0, maxSeparatorBytes - 1)]);
    }

    private joinIncomplete(chunk: Buffer): Buffer {
        this.incomplete.append(chunk);
        return this.incomplete.toBuffer();
    }

    private keepIncomplete(chunk: Buffer): EventBatch {
        this.incomplete.append(chunk);
        this.isForeign ||= this.incomplete.length > maxEventBytes;
        return noEvents;
    }

    private splitEvents(data: Buffer): EventBatch {
        const events: Buffer[] = [];
        let eventCount = 0;
        let start = 0;
        for (let end = findEventEnd(data, start); end > 0; end = findEventEnd(data, start)) {
            const event = data.subarray(start, end);
            start = end;
            const lines = event.toString("latin1").split("\n", maxEventLines + 1);
            if (lines.length > maxEventLines || !isEvent(lines)) {
                this.isForeign = true;
                break;
            }
            const id = readEventId(lines);
            const isRepeated = id !== undefined && this.lastEventId !== undefined && id <= this.lastEventId;
            this.recordEvent(event.length, !isRepeated && lines.some(line => contentField.test(line)));
            if (this.isForeign) {
                break;
            }
            if (isRepeated) {
                continue;
            }
            this.lastEventId = id ?? this.lastEventId;
            eventCount += id === undefined ? 0 : 1;
            events.push(event);
        }
        this.incomplete.clear();
        this.keepIncomplete(data.subarray(start));
        return { bytes: events.length === 1 ? events[0] : Buffer.concat(events), eventCount };
    }

    private recordEvent(length: number, hasContent: boolean): void {
        if (hasContent) {
            this.quiet.recordContent();
        }
        else {
            this.quiet.recordQuiet(length);
        }
        this.isForeign ||= this.quiet.isPassed;
    }
}

/** Returns the position after the blank line that ends an event, or 0 if the line has not arrived. */
const findEventEnd = (data: Buffer, start: number): number => {
    for (let index = data.indexOf(lineFeed, start); index >= 0; index = data.indexOf(lineFeed, index + 1)) {
        if (data[index + 1] === lineFeed) {
            return index + 2;
        }
        if (data[index + 1] === carriageReturn && data[index + 2] === lineFeed) {
            return index + 3;
        }
    }
    return 0;
};

const readEventId = (lines: readonly string[]): number | undefined => {
    const line = lines.find(text => text.startsWith(idField));
    const id = line === undefined ? NaN : Number.parseInt(line.slice(idField.length), 10);
    return Number.isNaN(id) ? undefined : id;
};

const isEvent = (lines: readonly string[]): boolean =>
    (lines.some(line => eventField.test(line)) && lines.every(line => fieldLine.test(line)))
    || lines.every(line => blankLine.test(line));
