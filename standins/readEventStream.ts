/** One server-sent event. */
export interface ReceivedEvent {
    readonly id: number | undefined;
    readonly data: string;
    /** Time at which the event was received on the monotonic clock, in milliseconds. */
    readonly receivedAtMs: number;
}

/** An event stream as a caller received it. */
export interface ReceivedStream {
    readonly status: number;
    readonly requestId: string | undefined;
    readonly events: readonly ReceivedEvent[];
    /** Whether the final event `[DONE]` was received. */
    readonly isWhole: boolean;
    /** Whether the response ended before its framing said so. */
    readonly isBroken: boolean;
    /** Concatenated text of all deltas. */
    readonly text: string;
    /** Body of a response with a status other than 200; otherwise empty. */
    readonly body: string;
}

/** Options of {@link readEventStream}. */
export interface ReadEventStreamOptions {
    /** Called for each event. */
    readonly onEvent?: (event: ReceivedEvent) => void;
}

/**
 * Reads a stream of server-sent events to its end.
 *
 * @param response - response with the stream
 * @param options - optional listener
 * @returns events and text; if the connection breaks, what was received until then, with `isWhole` false
 */
export const readEventStream = async (
    response: Response,
    options: ReadEventStreamOptions = {},
): Promise<ReceivedStream> => {
    const events: ReceivedEvent[] = [];
    let text = "";
    let body = "";
    let incompleteEvent = "";
    let isBroken = false;
    const decoder = new TextDecoder();
    try {
        for await (const chunk of response.body!) {
            const decoded = decoder.decode(chunk as Uint8Array, { stream: true });
            body += response.status === 200 ? "" : decoded;
            const blocks = (incompleteEvent + decoded).split("\n\n");
            incompleteEvent = blocks.pop()!;
            for (const block of blocks) {
                const event = parseEvent(block);
                if (event) {
                    events.push(event);
                    text += readDelta(event.data);
                    options.onEvent?.(event);
                }
            }
        }
    }
    catch {
        isBroken = true;
    }
    return {
        status: response.status,
        requestId: response.headers.get("request-id") ?? undefined,
        events,
        isWhole: events.at(-1)?.data === "[DONE]",
        isBroken,
        text,
        body,
    };
};

const parseEvent = (block: string): ReceivedEvent | undefined => {
    let id: number | undefined;
    let data: string | undefined;
    for (const line of block.split("\n")) {
        if (line.startsWith("id: ")) {
            id = Number(line.slice("id: ".length));
        }
        if (line.startsWith("data: ")) {
            data = line.slice("data: ".length);
        }
    }
    return data === undefined ? undefined : { id, data, receivedAtMs: performance.now() };
};

const readDelta = (data: string): string => {
    if (data === "[DONE]") {
        return "";
    }
    const chunk = JSON.parse(data) as { choices?: { delta?: { content?: string; }; }[]; };
    return chunk.choices?.[0]?.delta?.content ?? "";
};
