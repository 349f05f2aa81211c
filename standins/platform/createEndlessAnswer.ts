import type { RunnerBehaviour } from "./RunnerBehaviour";
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
const fillChunk = (text: string): string => text.repeat(Math.ceil(chunkBytes / text.length));
const smallChunks = "4\r\njunk\r\n".repeat(1_820); // as many bytes as the other answers write at a time

/** Status line and further headers; answers without an entry have no head. */
const headLines: Partial<Record<RunnerBehaviour, readonly string[]>> = {
    "endless-body": ["HTTP/1.1 200 OK"],
    "endless-chunks": ["HTTP/1.1 200 OK", chunkedField],
    "endless-event": ["HTTP/1.1 200 OK", eventStreamField],
    "endless-event-chunks": ["HTTP/1.1 200 OK", eventStreamField, chunkedField],
    "endless-lines": ["HTTP/1.1 200 OK", eventStreamField],
    "endless-comments": ["HTTP/1.1 200 OK", eventStreamField],
    "endless-extension": ["HTTP/1.1 200 OK", chunkedField],
    "endless-one-byte-chunks": ["HTTP/1.1 200 OK", eventStreamField, chunkedField],
    "endless-repeated-events": ["HTTP/1.1 200 OK", eventStreamField],
    "endless-size": ["HTTP/1.1 200 OK", chunkedField],
    "endless-trailers": ["HTTP/1.1 200 OK", chunkedField],
    "endless-refusal": ["HTTP/1.1 503 Service Unavailable", `${notExecutedHeader}: 1`],
};

/** What the answers repeat, where it is not a run of one letter. */
const chunks: Partial<Record<RunnerBehaviour, string>> = {
    "endless-chunks": smallChunks,
    "endless-comments": fillChunk(": x\n\n"),
    "endless-empty-lines": fillChunk("\r\n"),
    "endless-event-chunks": smallChunks,
    "endless-one-byte-chunks": fillChunk("1\r\nx\r\n"),
    "endless-repeated-events": fillChunk("id: 1\ndata: x\n\n"),
    "endless-short-headers": fillChunk("a:b\r\n"),
    "endless-size": "0".repeat(chunkBytes),
    "endless-trailers": fillChunk("a:b\r\n"),
    "endless-head": `HTTP/1.1 200 OK\r\nx-field: ${"x".repeat(chunkBytes)}`,
    "endless-interim": "HTTP/1.1 102 Processing\r\n\r\n",
    "endless-lines": `${"x".repeat(1_000)}\n\n`,
};

/** What follows the head once, or stands in its place. */
const beginnings: Partial<Record<RunnerBehaviour, string>> = {
    "endless-extension": "1;",
    "endless-short-headers": "HTTP/1.1 200 OK\r\n",
    "endless-status": "HTTP/1.1 200 ",
    "endless-trailers": "1\r\nx\r\n0\r\n",
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
        head: (status === undefined ? "" : [status, idField, ...fields, "", ""].join("\r\n"))
            + (beginnings[behaviour] ?? ""),
        chunk: chunks[behaviour] ?? "x".repeat(chunkBytes),
    };
};
