import type { AnswerHead } from "../upstreams/UpstreamExchange";

const eventStreamType = "text/event-stream";

/**
 * Tells whether an answer is a stream of server-sent events, which is assumed where it states no content type.
 *
 * @param head - status and headers of the answer
 */
export const isEventStream = ({ status, headers }: AnswerHead): boolean => {
    const type = headers["content-type"] ?? eventStreamType;
    return status === 200 && type.trim().toLowerCase().startsWith(eventStreamType);
};
