import { type AddressInfo, createServer, type Server } from "node:net";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import { exitCodes } from "./exitCodes";
import { OperatorClient } from "./OperatorClient";

const mebibyte = 1_048_576;
const maxBytes = 64 * mebibyte;
const socketBytes = 8 * mebibyte; // what the buffers of one loopback connection may take

describe("OperatorClient", () => {
    let server: Server;
    let bytes: number;

    beforeEach(async () => {
        bytes = 0;
        server = createServer(socket => {
            socket.on("error", () => {});
            socket.once("data", () => {
                writeEndlessly(socket, "HTTP/1.1 200 OK\r\n\r\n", "x".repeat(65_536), written => {
                    bytes += written;
                    if (bytes > 4 * maxBytes) {
                        socket.destroy();
                    }
                });
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => {
        server.close();
    });

    // Guards against a faulty node whose answer takes the memory of the operator's machine.
    it("reads a bounded part of an answer without end", async () => {
        const entry = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
        const sent = new OperatorClient({ entry, token: "t" }).get("status");
        await expect(sent).rejects.toMatchObject({ exitCode: exitCodes.unreachable });
        expect(bytes).toBeLessThan(maxBytes + socketBytes);
    });
});
