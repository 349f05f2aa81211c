import type { ChatBody } from "./chatBodySchema";

/**
 * Joins the text of all messages, for prefix hashes and token estimates.
 *
 * @param body - a validated body
 * @returns the text
 */
export const extractPromptText = (body: ChatBody): string =>
    body.messages.map(message => {
        const { content } = message;
        if (typeof content === "string") {
            return `${message.role}\n${content}\n`;
        }
        const texts = (content ?? []).map(part => typeof part.text === "string" ? part.text : "");
        return `${message.role}\n${texts.join("")}\n`;
    }).join("");
