import { type Dispatcher, Pool } from "undici";
import { benchAccount } from "./benchCredentials";

/** Result of one stream. */
export interface StreamResult {
    /** Time from the request to the first byte of the body, in milliseconds. */
    readonly firstByteMs: number;
    readonly eventCount: number;
    readonly status: number;
}

/** Options of {@link consumeStream}. */
export interface ConsumeStreamOptions {
    readonly pool: Pool;
    readonly prompt: string;
    readonly maxTokens: number;
    /** Called when the first byte of the body arrives. */
    readonly onFirstByte?: () => void;
}

const lineFeed = 0x0a; // two of them end an event

/**
 * Requests a streamed chat completion, reads it to its end and counts its events.
 *
 * @param options - connection pool and request
 * @returns the result, once the stream has ended
 */
export const consumeStream = (options: ConsumeStreamOptions): Promise<StreamResult> =>
    new Promise((resolve, reject) => {
        const startedMs = performance.now();
        let firstByteMs = 0;
        let eventCount = 0;
        let status = 0;
        let lastByte = 0;
        const handler: Dispatcher.DispatchHandler = {
            onRequestStart: () => {},
            onResponseStart: (_controller, statusCode) => {
                status = statusCode;
            },
            onResponseData: (_controller, chunk) => {
                if (firstByteMs === 0) {
                    firstByteMs = performance.now() - startedMs;
                    options.onFirstByte?.();
                }
                for (let index = 0; index < chunk.length; index += 1) {
                    const byte = chunk[index];
                    if (byte === lineFeed && lastByte === lineFeed) {
                        eventCount += 1;
                    }
                    lastByte = byte;
                }
            },
            onResponseEnd: () => resolve({ firstByteMs, eventCount, status }),
            onResponseError: (_controller, error) => reject(error),
        };
        options.pool.dispatch({
            method: "POST",
            path: "/v1/chat/completions",
            headers: { "authorization": `Bearer ${benchAccount.key}`, "content-type": "application/json" },
            body: JSON.stringify({
                model: "llm",
                stream: true,
                max_tokens: options.maxTokens,
                messages: [{ role: "user", content: options.prompt }],
            }),
        }, handler);
    });
