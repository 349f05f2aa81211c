import { type AddressInfo, createServer, type Server } from "node:net";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import { HttpObjectStore } from "./HttpObjectStore";

const calls = 8;
const mebibyte = 1_048_576;
const maxMebibytes = 64;
const maxBufferedMebibytes = 8; // of each loopback connection
const timeoutMs = 10_000;

describe("HttpObjectStore", () => {
    let server: Server;
    let store: HttpObjectStore;
    let bytes: number;

    beforeEach(async () => {
        bytes = 0;
        server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", () => {
                writeEndlessly(socket, "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(65_536), written => {
                    bytes += written;
                });
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        store = new HttpObjectStore({
            url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
            timeoutMs,
        });
    });

    afterEach(async () => {
        await store.close();
        server.close();
    });

    // Guards against a faulty object store whose answers take the memory of the node that calls it.
    it("reads a bounded part of answers without end, all together", async () => {
        const answers = await Promise.allSettled(
            Array.from({ length: calls }, (_unused, index) => store.get(`key-${index}`)),
        );
        expect(answers.map(({ status }) => status)).toEqual(Array(calls).fill("rejected"));
        // Each answer that is given up leaves its part of what may be held at a time to the others.
        const parts = Array.from({ length: calls }, (_unused, index) => maxMebibytes / (index + 1));
        const readMebibytes = parts.reduce((sum, part) => sum + part, 0);
        expect(bytes).toBeLessThan((readMebibytes + maxBufferedMebibytes * calls) * mebibyte);
    }, 20_000);
});
