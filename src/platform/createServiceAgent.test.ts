import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { pause } from "../../standins/pause";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import { createServiceAgent } from "./createServiceAgent";
import { sendJson } from "./sendJson";

const timeoutMs = 2_000;

describe("createServiceAgent", () => {
    let server: Server;
    let answer: (socket: Socket) => void;

    beforeEach(async () => {
        server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", () => answer(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => new Promise(resolve => server.close(resolve)));

    const call = async (): Promise<unknown> => {
        const dispatcher = createServiceAgent({ maxConnections: 1, connectTimeoutMs: timeoutMs });
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/rows`;
        try {
            return (await sendJson({ dispatcher, url, method: "GET", timeoutMs })).body;
        }
        finally {
            await dispatcher.destroy();
        }
    };

    it("takes an answer that ends with its connection", async () => {
        answer = socket => socket.end("HTTP/1.1 200 OK\r\n\r\n[1]");
        expect(await call()).toEqual([1]);
    });

    it("does not take an answer for whole whose connection was reset", async () => {
        answer = socket =>
            socket.write("HTTP/1.1 200 OK\r\n\r\n[1]", () => setTimeout(() => socket.resetAndDestroy(), 20));
        await expect(call()).rejects.toMatchObject({ effect: "unknown" });
    });

    it("resets the connection of an abandoned call, so that its bytes do not arrive later", async () => {
        const seen: string[] = [];
        answer = socket => {
            socket.on("end", () => seen.push("end"));
            socket.on("error", (error: NodeJS.ErrnoException) => seen.push(error.code!));
        };
        const dispatcher = createServiceAgent({ maxConnections: 1, connectTimeoutMs: timeoutMs });
        const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/rows`;
        const abandoned = sendJson({ dispatcher, url, method: "POST", body: {}, timeoutMs: 200 });
        await expect(abandoned).rejects.toMatchObject({ effect: "unknown" });
        while (seen.length === 0) {
            await pause(5);
        }
        expect(seen).toEqual(["ECONNRESET"]);
        answer = socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n[2]");
        expect((await sendJson({ dispatcher, url, method: "GET", timeoutMs })).body).toEqual([2]);
        await dispatcher.destroy();
    });

    it("gives up on an answer without an end, within bounded memory", async () => {
        let written = 0;
        answer = socket => {
            writeEndlessly(socket, "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(1_048_576), bytes => {
                written += bytes;
            });
        };
        await expect(call()).rejects.toMatchObject({ effect: "unknown" });
        expect(written).toBeLessThan(80 * 1_048_576);
    });
});
