import { type AddressInfo, createServer, Socket } from "node:net";
import { Agent, type Dispatcher } from "undici";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import { createServiceAgent } from "./createServiceAgent";
import { sendJson } from "./sendJson";

const timeoutMs = 50;
const mebibyte = 1_048_576;
const chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

describe("sendJson", () => {
    it("rejects at its time-out while no connection is established", async () => {
        const attempts: Socket[] = [];
        const dispatcher = new Agent({
            connect: () => {
                attempts.push(new Socket());
                return attempts.at(-1)!;
            },
        });
        const sent = sendJson({ dispatcher, url: "http://10.0.0.1:80/rows", method: "GET", timeoutMs });
        await expect(sent).rejects.toMatchObject({ effect: "unknown" });
        expect(attempts).toHaveLength(1);
    }, 5_000);

    // Guards against a write that was sent, and is told as not done because its connection failed with such a code.
    it.each([["connect", "none"], ["read", "unknown"], ["write", "unknown"]])(
        "tells by the failed step whether anything was sent: EHOSTUNREACH at %s, %s",
        async (syscall, effect) => {
            const failure = Object.assign(new Error("no route"), { code: "EHOSTUNREACH", syscall });
            const dispatcher = { request: () => Promise.reject(failure) } as unknown as Dispatcher;
            const sent = sendJson({ dispatcher, url: "http://10.0.0.1:80/rows", method: "POST", timeoutMs });
            await expect(sent).rejects.toMatchObject({ effect });
        },
    );

    it("rejects as not sent where nobody listens", async () => {
        const dispatcher = new Agent();
        const sent = sendJson({
            dispatcher,
            url: "http://127.0.0.1:1/rows",
            method: "POST",
            timeoutMs: 1_000,
        });
        await expect(sent).rejects.toMatchObject({ effect: "none" });
        await dispatcher.close();
    });

    // Guards against a faulty service whose answers take the memory of the node that calls it.
    it.each([
        ["one answer", 1, 16],
        ["many answers", 8, 32],
    ])("reads a bounded part of a body without end: %s", async (_name, calls, maxMebibytes) => {
        let bytes = 0;
        const server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", () => {
                writeEndlessly(socket, "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(65_536), written => {
                    bytes += written;
                });
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const dispatcher = createServiceAgent({ maxConnections: calls, connectTimeoutMs: 10_000 });
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
        const answers = await Promise.allSettled(
            Array.from(
                { length: calls },
                () => sendJson({ dispatcher, url, method: "GET", timeoutMs: 10_000 }),
            ),
        );
        const messages = answers.map(answer => answer.status === "rejected" && String(answer.reason));
        expect(messages).toEqual(messages.map(() => expect.stringContaining("the answer is larger than")));
        expect(bytes).toBeLessThan((maxMebibytes + 8 * calls) * mebibyte); // the buffers of each connection hold up to 8
        await dispatcher.destroy();
        server.close();
    }, 20_000);

    it("reads an answer in small chunks", async () => {
        const text = JSON.stringify({
            rows: Array.from({ length: 500 }, (_unused, index) => `rów ${index}`),
        });
        const chunks = [...Buffer.from(text)].map(byte => Buffer.from([49, 13, 10, byte, 13, 10]));
        const server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", () => {
                socket.end(Buffer.concat([Buffer.from(chunkedHead), ...chunks, Buffer.from("0\r\n\r\n")]));
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const dispatcher = createServiceAgent({ maxConnections: 1, connectTimeoutMs: 10_000 });
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
        const answer = await sendJson({ dispatcher, url, method: "GET", timeoutMs: 10_000 });
        expect(answer.body).toEqual(JSON.parse(text));
        await dispatcher.destroy();
        server.close();
    });
});
