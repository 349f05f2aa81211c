import { request as httpRequest } from "node:http";

/** A request whose head and first byte were sent. */
export interface OpenSlowCall {
    /** Sends the rest of the body; resolves with the status of the answer. */
    finish(): Promise<number>;
}

/** Options of {@link openSlowCall}. */
export interface OpenSlowCallOptions {
    /** Host and port of the node. */
    readonly address: string;
    readonly path: string;
    readonly requestId: string;
    readonly key?: string;
}

/** Begins a request of two bytes, and sends its head and the first byte. */
export const openSlowCall = ({ address, path, requestId, key }: OpenSlowCallOptions): OpenSlowCall => {
    const [host, port] = address.split(":");
    const headers = {
        "host": "host.example",
        "connection": "close",
        "content-length": "2",
        "x-sequoiagrade-attempt-id": requestId,
        "x-sequoiagrade-deadline-ms": "20000",
        "x-sequoiagrade-credential": key ?? "key-alpha",
    };
    const sent = httpRequest({ host, port, path, method: "POST", headers });
    const status = new Promise<number>((resolve, reject) => {
        sent.on("error", reject);
        sent.on("response", response => {
            response.resume();
            response.on("close", () => resolve(response.statusCode!));
        });
    });
    sent.write("a");
    return {
        finish: () => {
            sent.end("b");
            return status;
        },
    };
};
