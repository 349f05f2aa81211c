import { decodeEvents } from "../streams/decodeEvents";

/**
 * Builds the body of a non-streamed chat completion from the events of an answer.
 *
 * @param requestId - id to use if the events have none
 * @param events - all events of the answer
 * @returns the chat-completion object
 */
export const createChatCompletion = (requestId: string, events: Buffer): unknown => {
    const decoded = decodeEvents(events);
    const { metadata } = decoded;
    return {
        id: metadata.id ?? requestId,
        object: "chat.completion",
        created: metadata.created ?? 0,
        model: metadata.model ?? "",
        choices: [{
            index: 0,
            message: { role: "assistant", content: decoded.text },
            finish_reason: decoded.finishReason ?? "stop",
        }],
        usage: decoded.usage,
    };
};
