/** Clients of a deployment. */
import { request } from "node:http";

let attempts = 0;

/**
 * Sends one client attempt and resolves once its connection has ended.
 *
 * @param node - the node that it is sent to
 * @param options - path, body, headers and further fields; `signal` closes the client's connection
 * @returns attempt id, status (undefined without an answer), body and whether the answer is complete
 */
export const sendAttempt = (
    node,
    { path, body = "", key = "key-alpha", deadlineMs, headers = {}, agent, signal },
) => {
    attempts += 1;
    const id = `attempt-${attempts}`;
    const [host, port] = node.front.split(":");
    return new Promise(resolve => {
        let hasAnswer = false;
        const sent = request(
            {
                host,
                port,
                path,
                agent,
                signal,
                method: "POST",
                headers: {
                    host: "host.example",
                    "x-sequoiagrade-attempt-id": id,
                    "x-sequoiagrade-deadline-ms": String(deadlineMs),
                    "x-sequoiagrade-credential": key,
                    ...(agent ? {} : { connection: "close" }),
                    ...headers,
                },
            },
            response => {
                hasAnswer = true;
                let text = "";
                response.on("data", chunk => {
                    text += chunk;
                });
                response.on("error", () => {});
                response.on("close", () => {
                    const { statusCode: status, complete: isComplete } = response;
                    resolve({ id, status, body: text, isComplete });
                });
            },
        );
        sent.on("error", error => {
            if (!hasAnswer) {
                resolve({ id, error: error.code ?? error.message, isComplete: false });
            }
        });
        sent.end(body);
    });
};

/** Counts results by status and completeness, for the record. */
export const countResults = results => {
    const counts = {};
    for (const { status, error, isComplete } of results) {
        const name = `${status ?? error}${status !== undefined && !isComplete ? " (broken off)" : ""}`;
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return JSON.stringify(counts);
};
