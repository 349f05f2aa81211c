import { Agent, request as httpRequest } from "node:http";
import { performance } from "node:perf_hooks";

/** A request whose body ends some time after its head. */
export interface SlowCall {
    /** Host and port of the node. */
    readonly address: string;
    readonly path: string;
    readonly requestId: string;
    /** Time limit that the caller states, in milliseconds. */
    readonly deadlineMs: number;
    /** Time from the head to the last byte of the body, in milliseconds; default 0. */
    readonly bodyMs?: number;
    /** Agent that keeps the connection; default: a new connection. */
    readonly agent?: Agent;
    readonly headers?: Readonly<Record<string, string>>;
}

/** What the caller of a {@link SlowCall} saw. */
export interface SlowCallOutcome {
    readonly requestId: string;
    /** Whether a connection was established. */
    readonly isConnected: boolean;
    /** Monotonic time at which the last byte was sent, in milliseconds; undefined if it was not. */
    readonly lastByteAtMs: number | undefined;
    /** Monotonic time of the end, in milliseconds. */
    readonly endedAtMs: number;
    /** Undefined if no response began. */
    readonly status: number | undefined;
    /** Whether a complete response arrived. */
    readonly isWhole: boolean;
    /** Value of the response's `Connection` header. */
    readonly connection: string | undefined;
    readonly body: string;
}

/**
 * Sends a request whose body ends some time after its head.
 *
 * @param call - the request
 * @returns what the caller saw; never rejects
 */
export const sendSlowly = (call: SlowCall): Promise<SlowCallOutcome> => {
    const [host, port] = call.address.split(":");
    const { requestId, path, agent = false } = call;
    const headers = {
        "host": "host.example",
        "content-length": "2",
        "x-sequoiagrade-attempt-id": requestId,
        "x-sequoiagrade-deadline-ms": String(call.deadlineMs),
        "x-sequoiagrade-credential": "key-alpha",
        ...(call.agent ? {} : { connection: "close" }),
        ...call.headers,
    };
    return new Promise(resolve => {
        let lastByteAtMs: number | undefined;
        let isConnected = agent !== false;
        const finish = (answer: Partial<SlowCallOutcome>): void => {
            clearTimeout(timer);
            resolve({
                requestId,
                isConnected,
                lastByteAtMs,
                endedAtMs: performance.now(),
                status: undefined,
                isWhole: false,
                connection: undefined,
                body: "",
                ...answer,
            });
        };
        const sent = httpRequest({ host, port, path, agent, method: "POST", headers }, response => {
            const { statusCode: status, headers: { connection } } = response;
            let body = "";
            response.on("data", (chunk: Buffer) => {
                body += chunk.toString("utf8");
            });
            response.on("error", () => {});
            response.on("close", () => finish({ status, connection, isWhole: response.complete, body }));
        });
        sent.on("error", () => finish({}));
        sent.on("socket", socket =>
            socket.on("connect", () => {
                isConnected = true;
            }));
        const sendLastByte = (): void => {
            lastByteAtMs = performance.now();
            sent.end("b");
        };
        sent.write("a");
        const timer = setTimeout(sendLastByte, call.bodyMs ?? 0);
    });
};
