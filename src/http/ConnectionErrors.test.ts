import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { pause } from "../../standins/pause";
import { readBody } from "../callers/readBody";
import { HttpListener } from "./HttpListener";

const headersTimeout = 100;
const connectionsCheckingInterval = 20;
const errorMs = 300; // longer than the time-out of a head, as late as it takes effect
const pollMs = 2;
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
    let finish: () => void;
    let finished: Promise<void>;

    const answer = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
        await readBody(request, maxBodyBytes);
        passedOn += 1;
        response.on("close", () => {
            left += response.writableFinished ? 0 : 1;
        });
        await finished;
        response.end("done");
    };

    beforeEach(async () => {
        received = "";
        passedOn = 0;
        left = 0;
        finished = new Promise(resolve => {
            finish = resolve;
        });
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
        finish();
        socket.destroy();
        await listener.stop();
    });

    const listStatuses = (): string[] => [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code);

    const waitFor = async (condition: () => boolean): Promise<void> => {
        while (!condition()) {
            await pause(pollMs);
        }
    };

    /** Sends a request that is passed on, and bytes that cannot be read as a further one, or not yet. */
    const sendBoth = async (next: string): Promise<void> => {
        socket.write(whole + next);
        await waitFor(() => passedOn === 1);
        await pause(errorMs);
    };

    // Guards against an answer of the server's own in place of that of a request that may be running.
    it.each([
        ["a late head", lateHead],
        ["no request", "no request\r\n\r\n"],
        ["a second broken body", brokenBody],
    ])("writes no error answer in place of an earlier request's: %s", async (_name, next) => {
        await sendBoth(next);
        finish();
        await closed;
        expect(listStatuses().filter(status => status !== "200")).toEqual([]);
        expect(passedOn).toBe(1);
    });

    it("answers the earlier request and closes the connection", async () => {
        await sendBoth(lateHead);
        finish();
        await closed;
        expect(listStatuses()).toEqual(["200"]);
        expect(left).toBe(0);
    });

    it("answers a request whose head was late, too, if it ends before the earlier one is answered", async () => {
        await sendBoth(lateHead);
        socket.write(lateHeadRest);
        await waitFor(() => passedOn === 2);
        finish();
        await closed;
        expect(listStatuses()).toEqual(["200", "200"]);
    });

    it.each([
        ["closes", (sender: Socket): unknown => sender.end()],
        ["resets", (sender: Socket): unknown => sender.resetAndDestroy()],
    ])("ends the earlier request where the client %s the connection", async (_name, leave) => {
        await sendBoth("no request\r\n\r\n");
        leave(socket);
        await closed;
        await waitFor(() => left === 1);
        expect(received).toBe("");
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
