import type { ServerResponse } from "node:http";
import type { RunnerBehaviour } from "./RunnerBehaviour";

/** An answer that tells of an error. */
export interface ErrorAnswer {
    readonly status: number;
    readonly type?: string;
    readonly text: string;
    readonly isUnframed?: boolean;
}

/** Answers that tell of an error, by behaviour. */
export const errorAnswers: Partial<Record<RunnerBehaviour, ErrorAnswer>> = {
    "error-event": { status: 500, type: "text/event-stream", text: "id: 99\ndata: error: out of memory\n\n" },
    "error-unframed": { status: 500, text: "error: out of memory\n\n", isUnframed: true },
    "error-untyped": { status: 200, text: "error: out of memory" },
    "error-untyped-block": { status: 200, text: "error: out of memory\n\n" },
};

/** Sends an answer that tells of an error. */
export const sendError = (
    response: ServerResponse,
    headers: Record<string, string>,
    error: ErrorAnswer,
): void => {
    response.useChunkedEncodingByDefault = error.isUnframed !== true;
    response.shouldKeepAlive = error.isUnframed !== true;
    response.writeHead(error.status, { ...headers, ...(error.type ? { "content-type": error.type } : {}) });
    response.end(error.text);
};
