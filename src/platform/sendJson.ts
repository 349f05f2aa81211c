import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { waitForAbort } from "../_lib/waitForAbort";
import { type ByteBudget, readAnswer } from "../http/readAnswer";
import { AnswerTimeout } from "./AnswerTimeout";
import { StoreError } from "./StoreError";

/** Options of {@link sendJson}. */
export interface SendJsonOptions {
    readonly dispatcher: Dispatcher;
    readonly url: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly body?: unknown;
    /** Headers in addition to the content type. */
    readonly headers?: Readonly<Record<string, string>>;
    /** Time-out of the whole exchange, in milliseconds; with `progressMs`, until its answer begins. */
    readonly timeoutMs: number;
    /** Time-out between two pieces of an answer that has begun, in milliseconds. */
    readonly progressMs?: number;
}

/** Status, headers and parsed JSON body of an answer; the body is undefined if it was empty. */
export interface JsonAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: unknown;
}

const maxAnswerBytes = 16_777_216; // 16 MiB, sixteen pages of the store's rows
/** All answers that are read at the same time take no more than two of the largest. */
const answersBudget: ByteBudget = { maxBytes: 2 * maxAnswerBytes, usedBytes: 0 };
const utf8 = new TextDecoder();
const connectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";

/**
 * Sends a JSON request with a time-out.
 *
 * @param options - destination, request and time-out
 * @returns status, headers and parsed body
 * @throws StoreError if no complete answer arrived or the service answered with status 503. Its effect is "none" only
 * if connecting failed, which means that nothing was sent, or if the status was 503.
 */
export const sendJson = async (options: SendJsonOptions): Promise<JsonAnswer> => {
    const name = `${options.method} ${options.url}`;
    const timeout = new AnswerTimeout(options);
    try {
        const { origin, pathname, search } = new URL(options.url);
        const { signal } = timeout;
        const answered = options.dispatcher.request({
            origin,
            path: `${pathname}${search}`,
            method: options.method,
            headers: { "content-type": "application/json", ...options.headers },
            body: options.body === undefined ? undefined : JSON.stringify(options.body),
            signal,
        });
        const answer = await Promise.race([answered, rejectOnAbort(signal)]);
        timeout.recordProgress();
        const bytes = await readAnswer({
            body: answer.body,
            maxBytes: maxAnswerBytes,
            budget: answersBudget,
            onProgress: () => timeout.recordProgress(),
        });
        const text = utf8.decode(bytes);
        if (answer.statusCode === 503) {
            throw new StoreError(`${name}: service answered with status 503`, "none");
        }
        const { statusCode: status, headers } = answer;
        return { status, headers, body: text === "" ? undefined : JSON.parse(text) };
    }
    catch (error) {
        if (error instanceof StoreError) {
            throw error;
        }
        const effect = isConnectFailure(error) ? "none" : "unknown";
        throw new StoreError(`${name}: ${(error as Error).message}`, effect);
    }
    finally {
        timeout.clear();
    }
};

/**
 * Whether an attempt to connect failed, so that nothing was sent. The same codes stand for the loss of an open connection,
 * such as that its host cannot be reached any more.
 */
const isConnectFailure = (error: unknown): boolean => {
    if (error instanceof AggregateError) {
        return error.errors.every(isConnectFailure);
    }
    const { code, syscall } = error as NodeJS.ErrnoException;
    return code === connectTimeoutCode || syscall === "connect";
};

/** Rejects when the signal aborts. undici itself does not end a call that has no connection yet. */
const rejectOnAbort = async (signal: AbortSignal): Promise<never> => {
    await waitForAbort(signal);
    throw signal.reason;
};
