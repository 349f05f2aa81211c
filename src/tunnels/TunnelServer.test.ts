import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import {
    type AddressInfo,
    connect,
    createServer as createTcpServer,
    type Server as TcpServer,
    Socket,
} from "node:net";
import { FakeClock } from "../kernel/FakeClock";
import { computeTunnelProof } from "./computeTunnelProof";
import { tunnelProofHeader } from "./constants";
import { openTunnel } from "./openTunnel";
import type { TunnelConnection } from "./TunnelConnection";
import { TunnelServer } from "./TunnelServer";

const clusterKey = "key";
const nodeId = "node-1";
const timeoutMs = 1_000;
const closeTimeoutMs = 3_000; // the grace period of a planned stop is 8 s

describe("TunnelServer", () => {
    const clock = new FakeClock();
    let members: Server;
    let upstream: TcpServer;
    let tunnels: TunnelServer;
    let accepted: Promise<Socket>;
    let member: string;
    let target: string;

    beforeEach(async () => {
        members = createServer();
        upstream = createTcpServer();
        accepted = new Promise(resolve => upstream.on("connection", resolve));
        await Promise.all(
            [members, upstream].map(server => once(server.listen(0, "127.0.0.1"), "listening")),
        );
        member = `127.0.0.1:${(members.address() as AddressInfo).port}`;
        target = `127.0.0.1:${(upstream.address() as AddressInfo).port}`;
        tunnels = new TunnelServer({
            nodeId,
            network: {
                onTunnelRequest: listener =>
                    void members.on(
                        "connect",
                        (request: IncomingMessage, socket: Socket) => listener(request, socket),
                    ),
            },
            readClusterKey: () => clusterKey,
            clock,
            isUpstream: address => address === target,
            isAccepting: address => address === target,
        });
        await tunnels.start();
    });

    afterEach(async () => {
        await tunnels.stop();
        members.close();
        upstream.close();
    });

    const open = async (address = target, key = clusterKey): Promise<TunnelConnection> => {
        const proof = computeTunnelProof({ clusterKey: key, nodeId, target: address });
        const near = await openTunnel({ member, target: address, proof, timeoutMs });
        return near.on("error", () => {}); // those open at the end of a test fail
    };

    it("passes bytes on in both directions, and a regular end as one", async () => {
        const near = await open();
        const far = await accepted;
        near.write("ping");
        expect(String((await once(far, "data"))[0])).toBe("ping");
        const ended = once(near, "end");
        far.end("pong");
        expect(String((await once(near, "data"))[0])).toBe("pong");
        await ended;
        expect(near.errored).toBeNull();
    });

    // Guards against answers that end with their connection and look complete when the member that passes them on is lost.
    it("does not pass its own end on as a regular end of the upstream's bytes", async () => {
        const near = await open();
        const received: Buffer[] = [];
        near.on("data", (chunk: Buffer) => received.push(chunk));
        (await accepted).write("first part");
        await once(near, "data");
        const isEnded = jest.fn();
        near.on("end", isEnded);
        await tunnels.stop();
        const [error] = await once(near, "error").then(([failure]) => [failure as Error]);
        expect(error.message).toBe(`the tunnel through ${member} ended before the upstream's connection`);
        expect(isEnded).not.toHaveBeenCalled();
        expect(String(Buffer.concat(received))).toBe("first part");
    });

    // Guards against the same while members of older versions, which do not mark the end, pass answers on.
    it("takes no end for a regular one where the member does not mark it", async () => {
        members.removeAllListeners("connect");
        members.on("connect", (...[, socket]: [IncomingMessage, Socket]) => {
            socket.write("HTTP/1.1 200 Connection Established\r\n\r\n");
            socket.end("all bytes");
        });
        const near = await open();
        near.resume();
        await expect(once(near, "end")).rejects.toThrow("ended before");
    });

    it("passes bytes on as they are to nodes of older versions, which know no frames", async () => {
        const proof = computeTunnelProof({ clusterKey, nodeId, target });
        const [host, port] = member.split(":");
        const socket = connect({ host, port: Number(port) });
        socket.write(
            `CONNECT ${target} HTTP/1.1\r\nhost: ${target}\r\n${tunnelProofHeader}: ${proof}\r\n\r\n`,
        );
        await once(socket, "data");
        (await accepted).end("answer");
        expect(String((await once(socket, "data"))[0])).toBe("answer");
        await once(socket, "end");
        expect(socket.errored).toBeNull();
    });

    it("passes a reset by the upstream on as a reset", async () => {
        const near = await open();
        (await accepted).resetAndDestroy();
        const [error] = await once(near, "error").then(([failure]) => [failure as NodeJS.ErrnoException]);
        expect(error.code).toBe("ECONNRESET");
    });

    it("closes the connection to the upstream when the member that asked closes its own", async () => {
        const near = await open();
        const far = await accepted;
        far.resume();
        near.destroy();
        await once(far, "close");
        expect(tunnels.size).toBe(0);
    });

    it("refuses nodes that do not know the cluster key, and addresses at which no upstream is listed", async () => {
        await expect(open(target, "other")).rejects.toThrow("status 407");
        await expect(open("127.0.0.1:1")).rejects.toThrow("status 404");
        expect(tunnels.size).toBe(0);
    });

    it("opens no more once it is told so, and says how long those that are open have passed nothing on", async () => {
        expect(tunnels.isIdleFor(1)).toBe(true);
        await open();
        expect(tunnels.isIdleFor(1)).toBe(false);
        await clock.advance(500);
        expect(tunnels.isIdleFor(500)).toBe(true);
        tunnels.refuseNewTunnels();
        await expect(open()).rejects.toThrow("status 503");
    });

    it("refuses a proof of characters that take two bytes", async () => {
        const asked = openTunnel({ member, target, proof: "é".repeat(64), timeoutMs });
        await expect(asked).rejects.toThrow("status 407");
    });

    // Guards against a process that does not end because the other side leaves a refused connection open.
    it.each([["without a proof", "x"], ["to an upstream that cannot be reached", undefined]])(
        "closes the connection of a request that it refuses: %s",
        async (_name, wrongProof) => {
            upstream.close();
            const proof = wrongProof ?? computeTunnelProof({ clusterKey, nodeId, target });
            const [host, port] = member.split(":");
            const socket = connect({ host, port: Number(port), allowHalfOpen: true });
            socket.resume();
            socket.write(
                `CONNECT ${target} HTTP/1.1\r\nhost: ${target}\r\n${tunnelProofHeader}: ${proof}\r\n\r\n`,
            );
            await once(socket, "end");
            await new Promise<void>(resolve => members.close(() => resolve()));
            socket.destroy();
        },
        closeTimeoutMs,
    );

    it("refuses where the upstream cannot be reached", async () => {
        upstream.close();
        await expect(open()).rejects.toThrow("status 502");
    });
});
