import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";
import { HttpEngineClient } from "./HttpEngineClient";
import { HttpPlainClient } from "./HttpPlainClient";

const timeoutMs = 4_000;
const maxEndMs = 1_500;
const mebibyte = 1_048_576;
const maxBytes = 9 * mebibyte; // 8 MiB of them in the buffers of the loopback connection
const longMs = 30_000;
const maxUntrackedBytes = 72 * mebibyte;
const partBytes = 16_384;

describe("HttpPlainClient", () => {
    let server: Server | undefined;
    let client: HttpPlainClient | undefined;
    let sentBytes = 0;

    afterEach(async () => {
        await client?.close();
        server?.close();
    });

    const serveEndlessly = async (head: string, text: string): Promise<string> => {
        const part = text.repeat(Math.ceil(partBytes / text.length));
        sentBytes = 0;
        server = createServer(socket => {
            const repeat = (): void => {
                socket.write(part, error => {
                    if (!error) {
                        sentBytes += part.length;
                        setImmediate(repeat);
                    }
                });
            };
            socket.on("error", () => {});
            socket.once("data", () => {
                socket.write(head);
                repeat();
            });
        });
        await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    };

    // Guards against answers without end that are read until the call's time is over.
    it.each([
        ["empty lines before the head", "", "\r\n"],
        ["status line", "HTTP/1.1 200 ", "x"],
        ["short headers", "HTTP/1.1 200 OK\r\n", "a:b\r\n"],
        ["extension of a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x"],
        ["zeros of a chunk's size", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"],
        ["chunks of a byte", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"],
        ["trailers", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a:b\r\n"],
    ])("ends a call whose answer has no end as one that was sent: %s", async (_name, head, text) => {
        client = new HttpPlainClient({ url: await serveEndlessly(head, text), connectTimeoutMs: 500 });
        const startMs = performance.now();
        const call = { method: "GET", path: "/", headers: {}, body: undefined, timeoutMs };
        expect(await client.call(call)).toMatchObject({ failure: { isSent: true } });
        expect(performance.now() - startMs).toBeLessThan(maxEndMs);
        expect(sentBytes).toBeLessThan(maxBytes);
    });

    // Guards against a JSON answer without end, which was kept whole until the call's time was over.
    it.each([
        ["body", "HTTP/1.1 200 OK\r\n\r\n", "x"],
        ["empty lines before the head", "", "\r\n"],
    ])("ends a call of HttpEngineClient whose answer has no end: %s", async (_name, head, text) => {
        const url = await serveEndlessly(head, text);
        const engine = new HttpEngineClient({ url, timeoutMs: longMs });
        await expect(engine.readLoad()).rejects.toThrow();
        expect(sentBytes).toBeLessThan(maxUntrackedBytes);
        await engine.close();
    }, longMs);
});
