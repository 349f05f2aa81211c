const lineFeed = 0x0a;
const idField = "id:";

/** Whole events of a stream. */
export interface EventBatch {
    readonly bytes: Buffer;
    /** Number of events with an id. */
    readonly eventCount: number;
}

/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks off within an event can be
 * continued by another upstream. Events up to a given id are left out.
 */
export class EventStreamSplitter {
    private partial: Buffer = Buffer.alloc(0);
    /** Id of the last whole event; undefined before the first. */
    lastEventId: number | undefined;

    /** @param after - id up to which events are left out */
    constructor(after?: number) {
        this.lastEventId = after;
    }

    /** Bytes of an event that has not ended. */
    get incompleteEvent(): Buffer {
        return this.partial;
    }

    /**
     * Takes in bytes as they arrive.
     *
     * @param chunk - bytes of the stream
     * @returns the whole events in it
     */
    push(chunk: Buffer): EventBatch {
        const data = this.partial.length > 0 ? Buffer.concat([this.partial, chunk]) : chunk;
        const kept: Buffer[] = [];
        let count = 0;
        let start = 0;
        for (let end = findEventEnd(data, start); end > 0; end = findEventEnd(data, start)) {
            const event = data.subarray(start, end);
            start = end;
            const id = readEventId(event);
            if (id !== undefined && this.lastEventId !== undefined && id <= this.lastEventId) {
                continue;
            }
            this.lastEventId = id ?? this.lastEventId;
            count += id === undefined ? 0 : 1;
            kept.push(event);
        }
        this.partial = data.subarray(start);
        return { bytes: kept.length === 1 ? kept[0] : Buffer.concat(kept), eventCount: count };
    }
}

/** Finds the position after the blank line that ends an event; 0 when it has not arrived. */
const findEventEnd = (data: Buffer, start: number): number => {
    for (let at = data.indexOf(lineFeed, start); at >= 0; at = data.indexOf(lineFeed, at + 1)) {
        if (data[at + 1] === lineFeed) {
            return at + 2;
        }
        if (data[at + 1] === 0x0d && data[at + 2] === lineFeed) {
            return at + 3;
        }
    }
    return 0;
};

const readEventId = (event: Buffer): number | undefined => {
    const line = event.toString("latin1").split("\n").find(text => text.startsWith(idField));
    const id = line === undefined ? NaN : Number.parseInt(line.slice(idField.length), 10);
    return Number.isNaN(id) ? undefined : id;
};
