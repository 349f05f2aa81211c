import { connect, type Socket } from "node:net";
import { readBody } from "../callers/readBody";
import { HttpListener } from "./HttpListener";

const chunkCount = 50_000; // several reads
const maxBodyBytes = 1_000_000;
const head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

describe("PacedRequest", () => {
    let listener: HttpListener;
    let bodies: string[];

    beforeEach(async () => {
        bodies = [];
        listener = new HttpListener({
            host: "127.0.0.1",
            port: 0,
            onRequest: (request, response) =>
                void readBody(request, maxBodyBytes).then(body => {
                    bodies.push(body.toString("latin1"));
                    response.end("done");
                }),
        });
        await listener.start();
    });

    afterEach(() => listener.stop());

    const send = async (bytes: string): Promise<string> => {
        const socket: Socket = connect(listener.port, "127.0.0.1");
        socket.write(bytes);
        const answer = await new Promise<string>(resolve => {
            socket.once("data", chunk => resolve(String(chunk)));
        });
        socket.destroy();
        return answer;
    };

    it("passes on a body in small chunks whole and in order", async () => {
        const digits = Array.from({ length: chunkCount }, (_unused, index) => String(index % 10));
        const answer = await send(`${head}${digits.map(digit => `1\r\n${digit}\r\n`).join("")}0\r\n\r\n`);
        expect(answer).toContain("200 OK");
        expect(bodies).toEqual([digits.join("")]);
    });

    it("does not delay a body in a few chunks", async () => {
        const startMs = performance.now();
        for (let index = 0; index < 10; index += 1) {
            await send(`${head}${"1\r\nx\r\n".repeat(20)}0\r\n\r\n`);
        }
        expect(performance.now() - startMs).toBeLessThan(500); // 50 ms each, were they to wait
        expect(bodies).toEqual(Array(10).fill("x".repeat(20)));
    });

    // Guards against bodies of sound callers that all together arrive at a megabyte a second.
    it("delays bodies in chunks of some hundred bytes by little, also those of several callers", async () => {
        const part = `c8\r\n${"x".repeat(200)}\r\n`;
        const parts = 2_500; // ten reads or so
        const startMs = performance.now();
        const answers = await Promise.all(
            Array.from({ length: 10 }, () => send(`${head}${part.repeat(parts)}0\r\n\r\n`)),
        );
        expect(performance.now() - startMs).toBeLessThan(1_500);
        expect(answers.every(answer => answer.includes("200 OK"))).toBe(true);
    });
});
