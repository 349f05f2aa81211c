import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { ClosingConnections } from "./ClosingConnections";
import { HttpListener } from "./HttpListener";

const encodeRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

describe("ClosingConnections", () => {
    let listener: HttpListener;
    let socket: Socket;
    let received: string;
    let closing: ClosingConnections;
    let isClosing: boolean;
    let responses: Map<string, ServerResponse>;
    let refused: string[];

    beforeEach(async () => {
        received = "";
        closing = new ClosingConnections();
        isClosing = true;
        responses = new Map();
        refused = [];
        listener = new HttpListener({
            host: "127.0.0.1",
            port: 0,
            onRequest: (request, response) => {
                if (isClosing && !closing.closeAfter(request, response)) {
                    refused.push(request.url!);
                    return;
                }
                responses.set(request.url!, response);
            },
        });
        await listener.start();
        socket = connect(listener.port, "127.0.0.1");
        socket.on("data", chunk => {
            received += String(chunk);
        });
    });

    afterEach(async () => {
        socket.destroy();
        await listener.stop();
    });

    const send = async (...paths: string[]): Promise<void> => {
        socket.write(paths.map(encodeRequest).join(""));
        while (paths.some(path => !responses.has(path) && !refused.includes(path))) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
    };

    it("closes a connection after the last response that is open, and announces it there", async () => {
        await send("/1", "/2");
        responses.get("/2")!.end("second");
        responses.get("/1")!.end("first");
        await once(socket, "close");
        expect(received).toMatch(/connection: keep-alive.*first.*connection: close.*second/is);
    });

    // Guards against requests that are handled though the close that was announced says that they are not.
    it("does not answer a request that arrives after the close was announced", async () => {
        await send("/1");
        responses.get("/1")!.write("first ");
        await send("/2");
        responses.get("/1")!.end("whole");
        await once(socket, "close");
        expect(refused).toEqual(["/2"]);
        expect(received).toContain("whole");
    });

    it("closes a connection after the next response where the head of the present one was sent before", async () => {
        isClosing = false;
        await send("/1");
        responses.get("/1")!.write("first ");
        closing.closeAfter(responses.get("/1")!.req, responses.get("/1")!);
        isClosing = true;
        await send("/2");
        responses.get("/1")!.end("whole");
        responses.get("/2")!.end("second");
        await once(socket, "close");
        expect(received).toMatch(/connection: keep-alive.*whole.*connection: close.*second/is);
    });
});
