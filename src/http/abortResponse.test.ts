import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { abortResponse } from "./abortResponse";

describe("abortResponse", () => {
    let server: Server;
    let respond: (response: ServerResponse) => void;

    beforeEach(async () => {
        server = createServer((_request, response) => respond(response));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(() => new Promise(resolve => server.close(resolve)));

    /** Sends a request and resolves to the bytes received and the code of the error that ended the connection. */
    const receive = (version: string): Promise<{ text: string; errorCode?: string; }> =>
        new Promise(resolve => {
            let text = "";
            let errorCode: string | undefined;
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
            });
            socket.on("error", (error: NodeJS.ErrnoException) => {
                errorCode = error.code;
            });
            socket.on("close", () => resolve({ text, errorCode }));
            socket.write(`GET / HTTP/${version}\r\nhost: h\r\n\r\n`);
        });

    const abortAfterFirstBytes = (headers: Record<string, string>) => (response: ServerResponse): void => {
        response.writeHead(200, headers);
        response.write("part", () => setTimeout(() => abortResponse(response), 20));
    };

    it("resets the connection of an HTTP/1.0 caller, to whom a regular close would mean a complete answer", async () => {
        respond = abortAfterFirstBytes({});
        const received = await receive("1.0");
        expect(received.text).toContain("part");
        expect(received.errorCode).toBe("ECONNRESET");
    });

    it("leaves a chunked answer without its last chunk", async () => {
        respond = abortAfterFirstBytes({});
        const received = await receive("1.1");
        expect(received.text).toContain("part");
        expect(received.text).not.toContain("0\r\n\r\n");
    });

    it("does not touch a response that has ended", async () => {
        respond = response => {
            response.writeHead(200, { connection: "close" });
            response.end("whole", () => abortResponse(response));
            abortResponse(response);
        };
        const received = await receive("1.0");
        expect(received).toMatchObject({ text: expect.stringContaining("whole"), errorCode: undefined });
    });
});
