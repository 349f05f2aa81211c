import { type Agent, type ClientRequest, type IncomingMessage, request as openRequest } from "node:http";
import type { Socket } from "node:net";
import type { JsonAnswer } from "./sendJson";
import { type StoreEffect, StoreError } from "./StoreError";
import type { CallStages } from "./types";

/** Options of {@link sendStagedJson}. */
export interface SendStagedJsonOptions {
    /** Opens connections, and limits their number. */
    readonly agent: Agent;
    readonly url: string;
    /** Default: `POST`. */
    readonly method?: "POST" | "DELETE";
    /** Default: no body. */
    readonly body?: unknown;
    /** Headers in addition to those that describe the body. */
    readonly headers?: Readonly<Record<string, string>>;
    /** Abandons the call. */
    readonly signal: AbortSignal;
    readonly stages: CallStages;
}

/** HTTP statuses that do not tell that the call was carried out: nothing was done, or a gateway does not know. */
const effectByStatus: ReadonlyMap<number, StoreEffect> = new Map([
    [502, "unknown"],
    [503, "none"],
    [504, "unknown"],
]);
const maxAnswerBytes = 1_048_576; // 1 MiB, far above every answer to such a call

/**
 * Sends a JSON request in steps: it opens a connection, asks the caller, and then writes the request. When the call
 * is abandoned or fails, the connection is reset: the operating system would deliver bytes of a connection that was closed
 * in order, however late. A reset does not take back what has left this system. Each call has a connection of its own, as
 * an answer that comes twice would be taken for that of the next call.
 *
 * @param options - destination, request and what to call at each step
 * @returns status, headers and parsed body
 * @throws StoreError if no complete answer arrived, or one with status 502, 503 or 504. Its effect is "none" if
 * nothing was written, or if the status was 503.
 */
export const sendStagedJson = async (options: SendStagedJsonOptions): Promise<JsonAnswer> => {
    const { agent, url, method = "POST", signal, stages } = options;
    const body = options.body === undefined ? "" : JSON.stringify(options.body);
    const headers = {
        ...options.headers,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    };
    const request = openRequest(url, { agent, method, headers });
    request.shouldKeepAlive = false;
    const failed = rejectOnFailure(request, signal);
    const answer = await exchange(request, failed, body, stages);
    const effect = effectByStatus.get(answer.status);
    if (effect) {
        throw new StoreError(`${method} ${url}: service answered with status ${answer.status}`, effect);
    }
    return answer;
};

const exchange = async (
    request: ClientRequest,
    failed: Promise<never>,
    body: string,
    stages: CallStages,
): Promise<JsonAnswer> => {
    let isWritten = false;
    try {
        await Promise.race([waitForConnection(request), failed]);
        await Promise.race([stages.onConnected(), failed]);
        const answered = waitForAnswer(request);
        stages.onWrite();
        isWritten = true;
        request.end(body);
        return await Promise.race([answered, failed]);
    }
    catch (error) {
        resetConnection(request);
        const name = `${request.method} ${request.host}${request.path}`;
        throw new StoreError(`${name}: ${(error as Error).message}`, isWritten ? "unknown" : "none");
    }
};

const rejectOnFailure = (request: ClientRequest, signal: AbortSignal): Promise<never> => {
    const failed = new Promise<never>((_resolve, reject) => {
        request.on("error", reject);
        signal.addEventListener("abort", () => reject(signal.reason as Error), { once: true });
    });
    failed.catch(() => {});
    return failed;
};

const resetConnection = (request: ClientRequest): void => {
    const { socket } = request;
    if (socket && !socket.connecting && !socket.destroyed) {
        socket.resetAndDestroy();
    }
    request.destroy();
};

const waitForConnection = async (request: ClientRequest): Promise<Socket> => {
    const socket = await new Promise<Socket>(resolve => request.once("socket", resolve));
    if (socket.connecting) {
        await new Promise<void>(resolve => socket.once("connect", resolve));
    }
    return socket;
};

const waitForAnswer = async (request: ClientRequest): Promise<JsonAnswer> => {
    const response = await new Promise<IncomingMessage>(resolve => request.once("response", resolve));
    const text = await readText(response);
    return {
        status: response.statusCode!,
        headers: response.headers,
        body: text === "" ? undefined : JSON.parse(text),
    };
};

const readText = async (response: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxAnswerBytes) {
            throw new Error(`answer has more than ${maxAnswerBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};
