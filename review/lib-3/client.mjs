import { request } from "node:http";

/**
 * Sends one request on a connection of its own, as a client does, and resolves when its connection has ended.
 *
 * @param node - the node that is called
 * @param call - id, path, key and further headers; `read` reads the body, which is done at once by default
 */
export const sendRequest = (node, call) => {
    const { id, path, key, method = "POST", body = "hello", deadlineMs = 1_500, headers = {}, read } = call;
    const result = { id, path, sentAtMs: performance.now(), status: undefined, bytes: 0, isComplete: false };
    result.done = new Promise(resolve => {
        const finish = () => {
            result.endedAtMs ??= performance.now();
            resolve(result);
        };
        const sent = request({
            ...node.front,
            path,
            method,
            agent: false,
            headers: {
                "host": host,
                "x-sequoiagrade-attempt-id": id,
                "x-sequoiagrade-deadline-ms": String(deadlineMs),
                ...(key === undefined ? {} : { "x-sequoiagrade-credential": key }),
                "content-length": Buffer.byteLength(body),
                ...headers,
            },
        }, response => {
            result.status = response.statusCode;
            response.on("error", () => {});
            response.on("close", () => {
                result.isComplete = response.complete;
                finish();
            });
            if (read) {
                read(response, result);
            }
            else {
                response.on("data", chunk => {
                    result.bytes += chunk.length;
                });
            }
        });
        result.leave = () => sent.destroy();
        const timer = setTimeout(() => sent.destroy(), deadlineMs + 300);
        sent.on("close", () => clearTimeout(timer));
        sent.on("error", error => {
            result.error = error.code ?? error.message;
            finish();
        });
        sent.end(body);
    });
    return result;
};

/** Host of all routes of a case. */
export const host = "ficu95.example";

/** Describes the end of a request, for the record. */
export const describeEnd = ({ status, isComplete, error, bytes }) =>
    status === undefined
        ? `no answer (${error})`
        : `${status}, ${isComplete ? "complete" : `cut after ${bytes} bytes`}`;

/** Creates a configuration with the limits of a small deployment. */
export const createConfiguration = ({ version = 1, routes, services, tenants }) => ({
    version,
    routes: routes.map(route => ({ host, ...route })),
    services,
    limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
    },
    tenants,
});

/** Finds the longest time in which the node answered nothing, in milliseconds. */
export const findLongestSilence = (answeredAtMs, fromMs, toMs) => {
    const times = [
        fromMs,
        ...answeredAtMs.filter(atMs => atMs > fromMs && atMs < toMs).sort((a, b) => a - b),
        toMs,
    ];
    return Math.max(...times.slice(1).map((atMs, index) => atMs - times[index]));
};
