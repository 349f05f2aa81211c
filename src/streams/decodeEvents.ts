/** Content of an answer's events. */
export interface DecodedAnswer {
    /** Text of all deltas. */
    readonly text: string;
    readonly finishReason: string | undefined;
    readonly usage: unknown;
    /** Number of deltas that contain text. */
    readonly textDeltaCount: number;
    /** `id`, `created` and `model` of the first event. */
    readonly metadata: { readonly id?: string; readonly created?: number; readonly model?: string; };
}

interface Chunk {
    readonly id?: string;
    readonly created?: number;
    readonly model?: string;
    readonly usage?: unknown;
    readonly choices?: readonly {
        readonly delta?: { readonly content?: string; };
        readonly finish_reason?: string | null;
    }[];
}

const dataPrefix = "data: ";
const doneData = "[DONE]";

/**
 * Decodes the events of a chat-completions stream.
 *
 * @param events - server-sent events as bytes
 * @returns text, finish reason, usage and metadata of the answer
 */
export const decodeEvents = (events: Buffer): DecodedAnswer => {
    const parts: string[] = [];
    let head: Chunk = {};
    let finishReason: string | undefined;
    let usage: unknown;
    for (const line of events.toString("utf8").split("\n")) {
        if (!line.startsWith(dataPrefix) || line.endsWith(doneData)) {
            continue;
        }
        const chunk = JSON.parse(line.slice(dataPrefix.length)) as Chunk;
        head = head.id === undefined ? chunk : head;
        usage = chunk.usage ?? usage;
        const choice = chunk.choices?.[0];
        finishReason = choice?.finish_reason ?? finishReason;
        if (choice?.delta?.content) {
            parts.push(choice.delta.content);
        }
    }
    const { id, created, model } = head;
    return {
        text: parts.join(""),
        finishReason,
        usage,
        textDeltaCount: parts.length,
        metadata: { id, created, model },
    };
};
