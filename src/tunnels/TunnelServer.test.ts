import { once } from "node:events";
import { createServer, type IncomingMessage, type Server } from "node:http";
import {
    type AddressInfo,
    createServer as createTcpServer,
    type Server as TcpServer,
    Socket,
} from "node:net";
import { FakeClock } from "../kernel/FakeClock";
import { computeTunnelProof } from "./computeTunnelProof";
import { openTunnel } from "./openTunnel";
import { TunnelServer } from "./TunnelServer";

const clusterKey = "key";
const nodeId = "node-1";
const timeoutMs = 1_000;

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
        });
        await tunnels.start();
    });

    afterEach(async () => {
        await tunnels.stop();
        members.close();
        upstream.close();
    });

    const open = (address = target, key = clusterKey): Promise<Socket> => {
        const proof = computeTunnelProof({ clusterKey: key, nodeId, target: address });
        return openTunnel({ member, target: address, proof, timeoutMs });
    };

    it("passes bytes on in both directions, and a regular end as one", async () => {
        const near = await open();
        const far = await accepted;
        near.write("ping");
        expect(String((await once(far, "data"))[0])).toBe("ping");
        far.end("pong");
        expect(String((await once(near, "data"))[0])).toBe("pong");
        await once(near, "end");
        expect(near.errored).toBeNull();
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

    it("refuses where the upstream cannot be reached", async () => {
        upstream.close();
        await expect(open()).rejects.toThrow("status 502");
    });
});
