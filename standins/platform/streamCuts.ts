import type { ServerResponse } from "node:http";
import type { RunnerBehaviour } from "./RunnerBehaviour";

const resetConnection = (response: ServerResponse): void => {
    response.socket?.resetAndDestroy();
};

const closeConnection = (response: ServerResponse): void => {
    response.socket?.end();
};

const writeErrorAndClose = (response: ServerResponse): void => {
    const head = ["HTTP/1.1 500 Internal Server Error", "content-type: text/plain", "content-length: 20"];
    response.end(`${head.join("\r\n")}\r\n\r\nerror: out of memory`);
};

/** How a stream breaks off in the middle of its third event, by behaviour. */
export const streamCuts: Partial<Record<RunnerBehaviour, (response: ServerResponse) => void>> = {
    "break": resetConnection,
    "unframed-close": closeConnection,
    "unframed-error": writeErrorAndClose,
    "unframed-reset": resetConnection,
    "chunked-end": response => response.end(),
    "chunked-close": closeConnection,
};
