/** One server-sent event. */
export interface ReceivedEvent {
    readonly id: number | undefined;
    readonly data: string;
    /** Time of arrival, in milliseconds of the monotonic clock. */
    readonly receivedAtMs: number;
}

/** A stream as a caller read it. */
export interface ReceivedStream {
    readonly status: number;
    readonly requestId: string | undefined;
    readonly events: readonly ReceivedEvent[];
    /** Whether the last event arrived. */
    readonly isWhole: boolean;
    /** Text of all deltas. */
    readonly text: string;
    /** Body, when the answer was no stream. */
    readonly body: string;
}

/** Options of {@link readEventStream}. */
export interface ReadEventStreamOptions {
    /** Called for each event. */
    readonly onEvent?: (event: ReceivedEvent) => void;
}

/**
 * Reads a stream of server-sent events as a caller does.
 *
 * @param response - the answer
 * @param options - a listener
 * @returns events and text; a broken connection ends it early with `whole` false
 */
export const readEventStream = async (
    response: Response,
    options: ReadEventStreamOptions = {},
): Promise<ReceivedStream> => {
    const events: ReceivedEvent[] = [];
    let text = "";
    let body = "";
    let partial = "";
    const decoder = new TextDecoder();
    try {
        for await (const chunk of response.body!) {
            const piece = decoder.decode(chunk as Uint8Array, { stream: true });
            body += response.status === 200 ? "" : piece;
            const blocks = (partial + piece).split("\n\n");
            partial = blocks.pop()!;
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
        // The connection broke; the caller sees what arrived.
    }
    return {
        status: response.status,
        requestId: response.headers.get("request-id") ?? undefined,
        events,
        isWhole: events.at(-1)?.data === "[DONE]",
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
