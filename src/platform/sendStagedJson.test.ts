import { Agent } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { pause } from "../../standins/pause";
import { writeEndlessly } from "../../standins/platform/writeEndlessly";
import type { JsonAnswer } from "./sendJson";
import { sendStagedJson } from "./sendStagedJson";

const okAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

describe("sendStagedJson", () => {
    let server: Server;
    let agent: Agent;
    let sockets: Socket[];
    let seen: string[];
    let answer: string | undefined;

    beforeEach(async () => {
        [sockets, seen, answer] = [[], [], okAnswer];
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", (error: NodeJS.ErrnoException) => seen.push(error.code!));
            socket.on("end", () => seen.push("end"));
            socket.on("data", (bytes: Buffer) => {
                seen.push(bytes.toString("utf8").split(" ")[0]);
                if (answer !== undefined) {
                    socket.write(answer);
                }
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    });

    afterEach(async () => {
        agent.destroy();
        sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => server.close(resolve));
    });

    const send = (
        call: AbortController,
        onWrite = (): void => {},
        onConnected = async (): Promise<void> => {},
    ): Promise<JsonAnswer> =>
        sendStagedJson({
            agent,
            url: `http://127.0.0.1:${(server.address() as AddressInfo).port}/scale`,
            headers: {},
            body: { count: 1 },
            signal: call.signal,
            stages: { onConnected, onWrite },
        });

    const waitUntilSeen = async (event: string, count = 1): Promise<void> => {
        while (seen.filter(each => each === event).length < count) {
            await pause(5);
        }
    };

    it("opens a connection for each call and closes it after the answer, also where the service would keep it", async () => {
        const calls = [send(new AbortController()), send(new AbortController())];
        for (const answered of await Promise.all(calls)) {
            expect(answered).toMatchObject({ status: 200, body: {} });
        }
        await waitUntilSeen("end", 2);
        expect(sockets).toHaveLength(2);
        expect(seen).toEqual(["POST", "end", "POST", "end"]);
        expect(Object.keys(agent.freeSockets)).toEqual([]);
    });

    it.each(["before", "after"] as const)(
        "does not take a copy of an earlier call's answer that comes %s a call is written for the answer of that call",
        async moment => {
            await send(new AbortController());
            answer = undefined;
            const call = new AbortController();
            const repeatAnswer = async (): Promise<void> => {
                sockets[0].write(okAnswer);
                await pause(50);
            };
            const sent = send(call, () => {}, moment === "before" ? repeatAnswer : undefined);
            const ended = expect(sent).rejects.toMatchObject({ effect: "unknown" });
            await waitUntilSeen("POST", 2);
            if (moment === "after") {
                await repeatAnswer();
            }
            call.abort(new Error("given up"));
            await ended;
        },
    );

    it("resets the connection of an abandoned call, whose effect is unknown", async () => {
        answer = undefined;
        const call = new AbortController();
        const sent = send(call);
        await waitUntilSeen("POST");
        call.abort(new Error("given up"));
        await expect(sent).rejects.toMatchObject({ effect: "unknown" });
        await waitUntilSeen("ECONNRESET");
        expect(seen).toEqual(["POST", "ECONNRESET"]);
        expect(Object.keys(agent.sockets)).toEqual([]);
    });

    it("writes nothing for a call that was abandoned before it had a connection", async () => {
        answer = undefined;
        const [first, second] = [new AbortController(), new AbortController()];
        const firstSent = send(first);
        let isWritten = false;
        const secondSent = send(second, () => isWritten = true);
        await waitUntilSeen("POST");
        second.abort(new Error("given up"));
        await expect(secondSent).rejects.toMatchObject({ effect: "none" });
        first.abort(new Error("given up"));
        await expect(firstSent).rejects.toMatchObject({ effect: "unknown" });
        await pause(50);
        expect(isWritten).toBe(false);
        expect(seen.filter(event => event === "POST")).toHaveLength(1);
    });

    it("writes nothing when the caller stops the call on an open connection", async () => {
        const stop = (): never => {
            throw new Error("not held");
        };
        await expect(send(new AbortController(), stop)).rejects.toMatchObject({ effect: "none" });
        const rejected = send(new AbortController(), () => {}, async () => stop());
        await expect(rejected).rejects.toMatchObject({ effect: "none" });
        await pause(50);
        expect(seen).not.toContain("POST");
    });

    it("takes status 503 for a call without effect", async () => {
        answer = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        await expect(send(new AbortController())).rejects.toMatchObject({ effect: "none" });
    });

    it.each([502, 504])("does not take status %d of a gateway for the end of a call", async status => {
        answer = `HTTP/1.1 ${status} Gateway\r\ncontent-length: 0\r\n\r\n`;
        await expect(send(new AbortController())).rejects.toMatchObject({ effect: "unknown" });
    });

    it("does not take an answer for whole whose connection was reset", async () => {
        answer = "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}";
        const sent = send(new AbortController());
        await waitUntilSeen("POST");
        sockets[0].resetAndDestroy();
        await expect(sent).rejects.toMatchObject({ effect: "unknown" });
    });

    // Guards against a service whose answer occupies the holder of a duty beyond the call, or takes its memory.
    it.each([
        ["empty lines", "", "\r\n"],
        ["interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"],
        ["headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n"],
        ["a body", "HTTP/1.1 200 OK\r\n\r\n", "x"],
        ["small chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"],
    ])("ends a call whose answer does not end: %s", async (_name, first, repeated) => {
        answer = undefined;
        const call = new AbortController();
        const sent = send(call);
        await waitUntilSeen("POST");
        const text = repeated.repeat(Math.floor(16_384 / repeated.length));
        writeEndlessly(sockets[0], first, text, () => {});
        setTimeout(() => call.abort(new Error("given up")), 500);
        const startMs = performance.now();
        await expect(sent).rejects.toMatchObject({ effect: "unknown" });
        expect(performance.now() - startMs).toBeLessThan(2_000);
        while (!sockets[0].destroyed) {
            await pause(5);
        }
    });
});
