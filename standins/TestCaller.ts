import type { FailureBody } from "../src/results/formatFailure";
import { pause } from "./pause";
import { readEventStream, type ReadEventStreamOptions, type ReceivedStream } from "./readEventStream";

/** A node that callers connect to. */
export interface CallTarget {
    readonly callersUrl: string;
}

/** A response with its parsed JSON body. */
export interface TestResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Record<string, unknown>;
}

/** Caller of a node's API that uses the API key of one client account. */
export class TestCaller {
    constructor(private readonly key: string) {}

    /** Sends one request and parses the JSON response; an empty body becomes an empty object. */
    async call(node: CallTarget, path: string, init: RequestInit = {}): Promise<TestResponse> {
        const headers = { authorization: `Bearer ${this.key}`, ...init.headers as Record<string, string> };
        const answer = await fetch(`${node.callersUrl}${path}`, { ...init, headers });
        const text = await answer.text();
        return { status: answer.status, headers: answer.headers, body: text === "" ? {} : JSON.parse(text) };
    }

    /** Requests a chat completion without streaming. */
    complete(
        node: CallTarget,
        prompt: string,
        extra: Record<string, unknown> = {},
        headers = {},
    ): Promise<TestResponse> {
        return this.call(node, "/v1/chat/completions", {
            method: "POST",
            headers,
            body: createChatBody(prompt, extra),
        });
    }

    /** Requests a streamed chat completion and reads the stream to its end. */
    async stream(
        node: CallTarget,
        prompt: string,
        extra: Record<string, unknown> = {},
        headers: Record<string, string> = {},
        options: ReadEventStreamOptions = {},
    ): Promise<ReceivedStream> {
        const answer = await fetch(`${node.callersUrl}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${this.key}`, ...headers },
            body: createChatBody(prompt, { ...extra, stream: true }),
        });
        return readEventStream(answer, options);
    }

    /** Resumes a stream after the given event, or reads it from its start. */
    async resume(node: CallTarget, requestId: string, lastEventId?: number): Promise<ReceivedStream> {
        const headers: Record<string, string> = { authorization: `Bearer ${this.key}` };
        if (lastEventId !== undefined) {
            headers["last-event-id"] = String(lastEventId);
        }
        return readEventStream(
            await fetch(`${node.callersUrl}/v1/requests/${requestId}/events`, { headers }),
        );
    }

    /**
     * Sends one booking with an idempotency key, whose body ends some time after its head.
     *
     * @param bodyMs - time from the head to the end of the body, in milliseconds
     */
    bookSlowly(node: CallTarget, idempotencyKey: string, bodyMs: number): Promise<TestResponse> {
        const body = new ReadableStream({
            start: async controller => {
                controller.enqueue(Buffer.from("{"));
                await pause(bodyMs);
                controller.enqueue(Buffer.from("}"));
                controller.close();
            },
        });
        const init: RequestInit & { readonly duplex: "half"; } = {
            method: "POST",
            headers: { "idempotency-key": idempotencyKey },
            body,
            duplex: "half",
        };
        return this.call(node, "/v1/services/roster/bookings", init);
    }

    /** Sends one booking with an idempotency key. */
    book(node: CallTarget, idempotencyKey: string, details: unknown = { crew: 1 }): Promise<TestResponse> {
        return this.call(node, "/v1/services/roster/bookings", {
            method: "POST",
            headers: { "idempotency-key": idempotencyKey },
            body: JSON.stringify(details),
        });
    }
}

/** Reads the error from the body of a refusal. */
export const readError = (answer: TestResponse): FailureBody["error"] =>
    (answer.body as unknown as FailureBody).error;

const createChatBody = (prompt: string, extra: Record<string, unknown>): string =>
    JSON.stringify({ model: "llm", messages: [{ role: "user", content: prompt }], ...extra });
