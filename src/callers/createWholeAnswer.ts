import { decodeEvents } from "../streams/decodeEvents";

/**
 * Assembles the body of an unstreamed chat completion from the answer's events.
 *
 * @param requestId - the request
 * @param events - all events of the answer
 * @returns the chat-completion object
 */
export const createWholeAnswer = (requestId: string, events: Buffer): unknown => {
    const decoded = decodeEvents(events);
    const { head } = decoded;
    return {
        id: head.id ?? requestId,
        object: "chat.completion",
        created: head.created ?? 0,
        model: head.model ?? "",
        choices: [{
            index: 0,
            message: { role: "assistant", content: decoded.text },
            finish_reason: decoded.finishReason ?? "stop",
        }],
        usage: decoded.usage,
    };
};
