import type { RunnerBehaviour } from "./RunnerStandIn";
import { notExecutedHeader } from "./runnerHeaders";

/** An answer without end. */
export interface EndlessAnswer {
    /** Bytes at its beginning. */
    readonly head: string;
    /** Bytes that it repeats. */
    readonly chunk: string;
}

const chunkBytes = 16_384;
const eventStreamField = "content-type: text/event-stream";
const chunkedField = "transfer-encoding: chunked";
const smallChunks = "4\r\njunk\r\n".repeat(1_820); // as many bytes as the other answers write at a time

/** Status line and further headers; answers without an entry have no head. */
const headLines: Partial<Record<RunnerBehaviour, readonly string[]>> = {
    "endless-body": ["HTTP/1.1 200 OK"],
    "endless-chunks": ["HTTP/1.1 200 OK", chunkedField],
    "endless-event": ["HTTP/1.1 200 OK", eventStreamField],
    "endless-event-chunks": ["HTTP/1.1 200 OK", eventStreamField, chunkedField],
    "endless-lines": ["HTTP/1.1 200 OK", eventStreamField],
    "endless-refusal": ["HTTP/1.1 503 Service Unavailable", `${notExecutedHeader}: 1`],
};

/** What the answers repeat, where it is not a run of one letter. */
const chunks: Partial<Record<RunnerBehaviour, string>> = {
    "endless-chunks": smallChunks,
    "endless-event-chunks": smallChunks,
    "endless-head": `HTTP/1.1 200 OK\r\nx-field: ${"x".repeat(chunkBytes)}`,
    "endless-interim": "HTTP/1.1 102 Processing\r\n\r\n",
    "endless-lines": `${"x".repeat(1_000)}\n\n`,
};

/**
 * Creates the bytes of an answer without end.
 *
 * @param behaviour - kind of answer
 * @param idField - header line with the id of the request
 * @returns the bytes at its beginning, and those that it repeats
 */
export const createEndlessAnswer = (behaviour: RunnerBehaviour, idField: string): EndlessAnswer => {
    const [status, ...fields] = headLines[behaviour] ?? [];
    return {
        head: status === undefined ? "" : [status, idField, ...fields, "", ""].join("\r\n"),
        chunk: chunks[behaviour] ?? "x".repeat(chunkBytes),
    };
};
