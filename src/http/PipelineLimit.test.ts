import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import { pause } from "../../standins/pause";
import { HttpListener } from "./HttpListener";

const connections = 8;
const maxOpenRequests = 16;
const maxWaitMs = 10_000;
const request = "GET /many HTTP/1.1\r\nhost: a\r\n\r\n";

describe("PipelineLimit", () => {
    let listener: HttpListener;
    let sockets: Socket[];
    let passedOn: ServerResponse[];

    beforeEach(async () => {
        [sockets, passedOn] = [[], []];
        listener = new HttpListener({
            host: "127.0.0.1",
            port: 0,
            onRequest: ({ url }, response) => {
                if (url === "/many") {
                    passedOn.push(response);
                }
                else {
                    response.end("one");
                }
            },
        });
        await listener.start();
    });

    afterEach(async () => {
        sockets.forEach(socket => socket.destroy());
        await listener.stop();
    });

    const open = (): Socket => {
        const socket = connect(listener.port, "127.0.0.1");
        socket.on("error", () => {});
        sockets.push(socket);
        return socket;
    };

    const waitForClose = (socket: Socket): Promise<void> =>
        new Promise(resolve => socket.once("close", () => resolve()));

    const answerAll = (): void => passedOn.splice(0).forEach(response => void response.end("many"));

    // Guards against requests without end on one connection that occupy the process and its memory.
    it("passes on a bounded number of requests that are sent without end", async () => {
        for (let index = 0; index < connections; index += 1) {
            writeEndlessly(open(), "", request.repeat(500), () => {});
        }
        const expected = connections * maxOpenRequests;
        for (const startMs = performance.now(); passedOn.length < expected;) {
            expect(performance.now() - startMs).toBeLessThan(maxWaitMs);
            await pause(20);
        }
        expect(passedOn).toHaveLength(expected);
        expect(await (await fetch(`http://127.0.0.1:${listener.port}/one`)).text()).toBe("one");
        const closed = Promise.all(sockets.map(socket => waitForClose(socket.resume())));
        answerAll();
        await closed;
        expect(passedOn).toEqual([]);
    });

    it("answers the requests up to the limit in order and announces the close with the last", async () => {
        const socket = open();
        let received = "";
        socket.on("data", chunk => {
            received += String(chunk);
        });
        socket.write(request.repeat(maxOpenRequests + 5));
        while (passedOn.length < maxOpenRequests) {
            await pause(2);
        }
        answerAll();
        await waitForClose(socket);
        const answers = received.split("HTTP/1.1 200 OK").slice(1);
        expect(answers.map(answer => answer.includes("Connection: close"))).toEqual(
            Array.from({ length: maxOpenRequests }, (_unused, index) => index === maxOpenRequests - 1),
        );
    });

    it("answers any number of requests that are sent a few at a time", async () => {
        const socket = open();
        let answers = 0;
        socket.on("data", chunk => {
            answers += String(chunk).split("HTTP/1.1 200 OK").length - 1;
        });
        for (let sent = 5; sent <= 50; sent += 5) {
            socket.write(request.repeat(5));
            while (answers < sent) {
                await pause(2);
                answerAll();
            }
        }
        expect(answers).toBe(50);
    });
});
