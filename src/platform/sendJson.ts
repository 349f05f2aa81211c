import type { Dispatcher } from "undici";
import { waitForAbort } from "../_lib/waitForAbort";
import { StoreError } from "./StoreError";

/** Options of {@link sendJson}. */
export interface SendJsonOptions {
    readonly dispatcher: Dispatcher;
    readonly url: string;
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly body?: unknown;
    /** Further headers. */
    readonly headers?: Readonly<Record<string, string>>;
    readonly timeoutMs: number;
}

/** A JSON answer with its status. */
export interface JsonAnswer {
    readonly status: number;
    readonly body: unknown;
}

const connectFailures: readonly string[] = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH"];

/**
 * Sends one JSON request with a deadline over the whole exchange.
 *
 * @param options - where to, what and how long
 * @returns status and parsed body
 * @throws StoreError when no whole answer came; its effect is "none" only when nothing was sent or the
 * service said 503
 */
export const sendJson = async (options: SendJsonOptions): Promise<JsonAnswer> => {
    const name = `${options.method} ${options.url}`;
    try {
        const { origin, pathname, search } = new URL(options.url);
        const signal = AbortSignal.timeout(options.timeoutMs);
        const answered = options.dispatcher.request({
            origin,
            path: `${pathname}${search}`,
            method: options.method,
            headers: { "content-type": "application/json", ...options.headers },
            body: options.body === undefined ? undefined : JSON.stringify(options.body),
            signal,
        });
        const answer = await Promise.race([answered, failWith(signal)]);
        const text = await answer.body.text();
        if (answer.statusCode === 503) {
            throw new StoreError(`${name}: the service is unavailable`, "none");
        }
        return { status: answer.statusCode, body: text === "" ? undefined : JSON.parse(text) };
    }
    catch (error) {
        if (error instanceof StoreError) {
            throw error;
        }
        const code = (error as { code?: string; }).code ?? "";
        const effect = connectFailures.includes(code) ? "none" : "unknown";
        throw new StoreError(`${name}: ${(error as Error).message}`, effect);
    }
};

/** Fails when the signal aborts; the library does not end a call that has no connection yet. */
const failWith = async (signal: AbortSignal): Promise<never> => {
    await waitForAbort(signal);
    throw signal.reason;
};
