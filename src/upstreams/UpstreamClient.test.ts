import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { UpstreamClient } from "./UpstreamClient";
import type { ExchangeEnd, ExchangeStart, UpstreamExchange } from "./UpstreamExchange";

interface Served {
    readonly start: ExchangeStart;
    readonly end: ExchangeEnd;
    readonly body: string;
}

let server: Server;
let client: UpstreamClient;

/** Starts an upstream that answers the first data on each connection. */
const startUpstream = async (answer: (socket: Socket) => void): Promise<void> => {
    server = createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    client = new UpstreamClient({ address: `127.0.0.1:${port}`, maxConnections: 2 });
};

const callOnce = async (): Promise<Served> => {
    const exchange = client.send({ method: "GET", path: "/a/", headers: ["host", "h"], body: undefined });
    let body = "";
    exchange.listen(chunk => {
        body += chunk.toString("latin1");
    });
    return { start: await exchange.started, end: await exchange.ended, body };
};

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
const unframedHead = "HTTP/1.1 200 OK\r\n\r\n";
const sizedHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
const endTimeoutMs = 3_000;
const pausedMs = 60; // the upstream's end arrives meanwhile

describe("UpstreamClient", () => {
    afterEach(async () => {
        await client.close();
        await new Promise(resolve => server.close(resolve));
    });

    it("treats an answer without framing as whole when its connection is closed", async () => {
        await startUpstream(socket => socket.end(`${unframedHead}whole`));
        expect(await callOnce()).toMatchObject({ end: { isWhole: true }, body: "whole" });
    });

    it("treats an answer without framing as truncated when its connection is reset", async () => {
        await startUpstream(socket => {
            socket.write(`${unframedHead}part`);
            setTimeout(() => socket.resetAndDestroy(), 20);
        });
        expect((await callOnce()).end.isWhole).toBe(false);
    });

    it("treats a chunked answer as truncated when its connection is closed before the last chunk", async () => {
        await startUpstream(socket => socket.end(`${chunkedHead}4\r\npart\r\n`));
        expect((await callOnce()).end.isWhole).toBe(false);
    });

    it("treats a chunked answer with its last chunk as whole", async () => {
        await startUpstream(socket => socket.end(`${chunkedHead}5\r\nwhole\r\n0\r\n\r\n`));
        expect(await callOnce()).toMatchObject({ end: { isWhole: true }, body: "whole" });
    });

    it("treats an answer shorter than its Content-Length as truncated", async () => {
        await startUpstream(socket =>
            socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\npart")
        );
        expect((await callOnce()).end.isWhole).toBe(false);
    });

    // Guards against a failure that reaches its caller as a success since a part of another answer's head came before it.
    it("takes no status from a part of a head that comes before the head of the answer", async () => {
        const left = "HTTP/1.1 200 OK\r\nx-left: over\r\n";
        const answer =
            "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 4\r\n\r\npart";
        let cut = 0;
        await startUpstream(socket => socket.write(left.slice(0, cut) + answer));
        for (; cut <= left.length; cut += 1) {
            const { start } = await callOnce();
            expect(start).toMatchObject(
                cut === 0 ? { kind: "answered", head: { status: 500 } } : { kind: "failed", isSent: true },
            );
        }
    }, endTimeoutMs);

    // Guards against a process that ends when an answer ends while its reading is paused for a slow caller.
    it.each([
        ["without framing, whole", `${unframedHead}part`, true],
        ["with a length, whole", `${sizedHead}Connection: close\r\n\r\npart`, true],
        ["with a length and kept alive, whole", `${sizedHead}\r\npart`, true],
        ["with a length, cut", `${sizedHead}Connection: close\r\n\r\npar`, false],
        ["with a length and kept alive, cut", `${sizedHead}\r\npar`, false],
        ["in chunks, whole", `${chunkedHead}4\r\npart\r\n0\r\n\r\n`, true],
        ["in chunks, cut", `${chunkedHead}4\r\npar`, false],
    ])("ends an answer that ends while its reading is paused: %s", async (_name, answer, isWhole) => {
        await startUpstream(socket => {
            socket.write(answer.slice(0, -1));
            setTimeout(() => socket.end(answer.slice(-1)), pausedMs / 2);
        });
        const exchange = client.send({ method: "GET", path: "/a/", headers: ["host", "h"], body: undefined });
        const received: string[] = [];
        exchange.listen(chunk => {
            received.push(chunk.toString("latin1"));
            exchange.pause();
            setTimeout(() => exchange.resume(), pausedMs);
        });
        expect((await exchange.ended).isWhole).toBe(isWhole);
        expect(received.join("")).toBe(isWhole ? "part" : "par");
    }, endTimeoutMs);

    it("does not write a queued call that is no longer wanted when it gets a connection", async () => {
        const received: string[] = [];
        await startUpstream(() => {});
        server.on("connection", socket => socket.on("data", data => received.push(String(data))));
        const single = new UpstreamClient({
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            maxConnections: 1,
        });
        let isWanted = true;
        const send = (path: string): UpstreamExchange =>
            single.send({
                method: "GET",
                path,
                headers: ["host", "h"],
                body: undefined,
                isWanted: () => isWanted,
            });
        const first = send("/first/");
        const second = send("/second/");
        while (received.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        isWanted = false;
        first.abort("the request has ended");
        expect(await second.started).toMatchObject({ kind: "failed", isSent: false });
        expect(received.join()).not.toContain("/second/");
        await single.close();
    });

    it("tells which connections were opened to the process that is listed", async () => {
        const sockets: Socket[] = [];
        await startUpstream(() => {});
        server.on("connection", socket => {
            sockets.push(socket);
            socket.on("data", () => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
        });
        let isCurrent = true;
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const tracked = new UpstreamClient({
            address,
            maxConnections: 1,
            isListingCurrent: () => isCurrent,
        });
        const call = async (): Promise<boolean> => {
            const exchange = tracked.send({
                method: "GET",
                path: "/",
                headers: ["host", "h"],
                body: undefined,
            });
            exchange.listen(() => {});
            await exchange.ended;
            return exchange.isConfirmed;
        };
        expect(await call()).toBe(true);
        isCurrent = false;
        expect([await call(), sockets.length]).toEqual([true, 1]);
        sockets[0].destroy();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect([await call(), sockets.length]).toEqual([false, 2]);
        await tracked.close();
    });

    it("distinguishes calls that were never written from those that may have been received", async () => {
        await startUpstream(socket => socket.resetAndDestroy());
        expect((await callOnce()).start).toMatchObject({ kind: "failed", isSent: true });
        const { port } = server.address() as AddressInfo;
        await new Promise(resolve => server.close(resolve));
        const closed = new UpstreamClient({ address: `127.0.0.1:${port}`, maxConnections: 1 });
        const exchange = closed.send({ method: "GET", path: "/", headers: ["host", "h"], body: undefined });
        expect(await exchange.started).toMatchObject({ kind: "failed", isSent: false });
        await closed.close();
        await startUpstream(socket => socket.end());
    });

    // Guards against empty lines between two calls, which the parser skips for as long as they come.
    it("closes a kept connection at the first bytes that no call asked for", async () => {
        let sentBytes = 0;
        let isClosed = false;
        await startUpstream(socket => {
            const repeat = (): void => {
                socket.write("\r\n".repeat(8_192), error => {
                    if (!error) {
                        sentBytes += 16_384;
                        setImmediate(repeat);
                    }
                });
            };
            socket.write(`${sizedHead}\r\nbody`);
            socket.on("close", () => {
                isClosed = true;
            });
            setTimeout(repeat, pausedMs);
        });
        expect(await callOnce()).toMatchObject({ end: { isWhole: true }, body: "body" });
        const startMs = performance.now();
        while (!isClosed && performance.now() - startMs < endTimeoutMs) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(isClosed).toBe(true);
        expect(performance.now() - startMs).toBeLessThan(1_000);
        expect(sentBytes).toBeLessThan(9_437_184);
    });
});
