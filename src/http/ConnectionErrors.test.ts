import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { readBody } from "../callers/readBody";
import { HttpListener } from "./HttpListener";

const headersTimeout = 100;
const connectionsCheckingInterval = 20;
const answerMs = 400; // longer than the time-out of a head, as late as it takes effect
const maxBodyBytes = 1_000;
const whole = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody";
const lateHead = "POST / HTTP/1.1\r\nhost: ";
const lateHeadRest = "a\r\ncontent-length: 4\r\n\r\nbody";
const brokenBody = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nx\r\n";

describe("ConnectionErrors", () => {
    let listener: HttpListener;
    let socket: Socket;
    let closed: Promise<unknown>;
    let received: string;
    let passedOn: number;
    let left: number;

    const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        await readBody(request, maxBodyBytes);
        passedOn += 1;
        response.on("close", () => {
            left += response.writableFinished ? 0 : 1;
        });
        await new Promise(resolve => setTimeout(resolve, answerMs));
        response.end("done");
    };

    beforeEach(async () => {
        received = "";
        passedOn = 0;
        left = 0;
        listener = new HttpListener({
            host: "127.0.0.1",
            port: 0,
            serverOptions: { headersTimeout, connectionsCheckingInterval, requestTimeout: 0 },
            onRequest: (request, response) => void answer(request, response).catch(() => {}),
        });
        await listener.start();
        socket = connect(listener.port, "127.0.0.1");
        closed = once(socket, "close");
        socket.on("data", chunk => {
            received += String(chunk);
        });
    });

    afterEach(async () => {
        socket.destroy();
        await listener.stop();
    });

    const listStatuses = (): string[] => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code);

    // Guards against an answer of the server's own in place of that of a request that may be running.
    it.each([
        ["a late head", lateHead],
        ["no request", "no request\r\n\r\n"],
        ["a second broken body", brokenBody],
    ])("writes no error answer in place of an earlier request's: %s", async (_name, next) => {
        socket.write(whole + next);
        await closed;
        expect(listStatuses().filter(status => status !== "200")).toEqual([]);
        expect(passedOn).toBe(1);
    });

    it("answers the earlier request and closes the connection", async () => {
        socket.write(whole + lateHead);
        await closed;
        expect(listStatuses()).toEqual(["200"]);
        expect(left).toBe(0);
    });

    it("answers a request whose head was late, too, if it ends before the earlier one is answered", async () => {
        const sender = socket;
        sender.write(whole + lateHead);
        setTimeout(() => sender.write(lateHeadRest), answerMs * 3 / 4);
        await closed;
        expect(listStatuses()).toEqual(["200", "200"]);
    });

    it.each([
        ["closes", (sender: Socket): unknown => sender.end()],
        ["resets", (sender: Socket): unknown => sender.resetAndDestroy()],
    ])("ends the earlier request where the client %s the connection", async (_name, leave) => {
        const sender = socket;
        sender.write(`${whole}no request\r\n\r\n`);
        setTimeout(() => leave(sender), answerMs / 2);
        await closed;
        await new Promise(resolve => setTimeout(resolve, answerMs / 4));
        expect({ passedOn, left, received }).toEqual({ passedOn: 1, left: 1, received: "" });
    });

    it.each([
        ["408", lateHead],
        ["400", "no request\r\n\r\n"],
        ["400", brokenBody],
        ["431", `GET / HTTP/1.1\r\nx-long: ${"x".repeat(20_000)}\r\n\r\n`],
    ])("answers a connection without an earlier request with %s", async (status, bytes) => {
        socket.write(bytes);
        await closed;
        expect(listStatuses()).toEqual([status]);
        expect(passedOn).toBe(0);
    });
});
