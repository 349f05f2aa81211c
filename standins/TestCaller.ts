import type { FailureBody } from "../src/results/formatFailure";
import { readEventStream, type ReadEventStreamOptions, type ReceivedStream } from "./readEventStream";

/** A node that a caller connects to. */
export interface CallTarget {
    readonly callersUrl: string;
}

/** An answer as a test sees it. */
export interface TestResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: Record<string, unknown>;
}

/** A caller with one account's key. */
export class TestCaller {
    constructor(private readonly key: string) {}

    /** Sends one call and parses its JSON answer. */
    async call(node: CallTarget, path: string, init: RequestInit = {}): Promise<TestResponse> {
        const headers = { authorization: `Bearer ${this.key}`, ...init.headers as Record<string, string> };
        const answer = await fetch(`${node.callersUrl}${path}`, { ...init, headers });
        const text = await answer.text();
        return { status: answer.status, headers: answer.headers, body: text === "" ? {} : JSON.parse(text) };
    }

    /** Asks for a whole chat completion. */
    complete(
        node: CallTarget,
        prompt: string,
        extra: Record<string, unknown> = {},
        headers = {},
    ): Promise<TestResponse> {
        return this.call(node, "/v1/chat/completions", {
            method: "POST",
            headers,
            body: createBody(prompt, extra),
        });
    }

    /** Asks for a streamed chat completion and reads it to its end. */
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
            body: createBody(prompt, { ...extra, stream: true }),
        });
        return readEventStream(answer, options);
    }

    /** Resumes a stream after an event. */
    async resume(node: CallTarget, requestId: string, lastEventId?: number): Promise<ReceivedStream> {
        const headers: Record<string, string> = { authorization: `Bearer ${this.key}` };
        if (lastEventId !== undefined) {
            headers["last-event-id"] = String(lastEventId);
        }
        return readEventStream(
            await fetch(`${node.callersUrl}/v1/requests/${requestId}/events`, { headers }),
        );
    }

    /** Books once under a key. */
    book(node: CallTarget, idempotencyKey: string, details: unknown = { crew: 1 }): Promise<TestResponse> {
        return this.call(node, "/v1/services/roster/bookings", {
            method: "POST",
            headers: { "idempotency-key": idempotencyKey },
            body: JSON.stringify(details),
        });
    }
}

/** Error of a refusal. */
export const readError = (answer: TestResponse): FailureBody["error"] =>
    (answer.body as unknown as FailureBody).error;

const createBody = (prompt: string, extra: Record<string, unknown>): string =>
    JSON.stringify({ model: "llm", messages: [{ role: "user", content: prompt }], ...extra });
