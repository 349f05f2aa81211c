import { once } from "node:events";
import { createServer as createHttpServer, type IncomingMessage, type Server as HttpServer } from "node:http";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { pause } from "../../standins/pause";
import { SystemClock } from "../kernel/SystemClock";
import { UpstreamClient } from "../upstreams/UpstreamClient";
import { computeTunnelProof } from "./computeTunnelProof";
import { openTunnel } from "./openTunnel";
import { TunnelServer } from "./TunnelServer";

// To send more: ABANDONED_BYTES=5000000 npx jest src/tunnels/abandonedCalls

const bodyBytes = Number(process.env.ABANDONED_BYTES ?? 1_000_000); // more than the upstream's system takes at first, less than the sender's takes besides
const busyMs = 300; // for which the upstream does not read
const abandonMs = 100;
const deliveryMs = 700;
const timeoutMs = 1_000;
const clusterKey = "key";
const nodeId = "node-1";
const ways = ["direct", "relayed"] as const;
const clock = new SystemClock();

describe("a call that is abandoned while its upstream does not read", () => {
    let upstream: Server;
    let members: HttpServer;
    let tunnels: TunnelServer;
    let client: UpstreamClient;
    let target: string;
    let receivedBytes: number;
    const sockets = new Set<Socket>();

    const receiveLate = async (socket: Socket): Promise<void> => {
        sockets.add(socket);
        socket.on("error", () => {});
        await pause(busyMs);
        socket.on("data", chunk => receivedBytes += chunk.length);
        socket.resume();
    };

    beforeEach(async () => {
        receivedBytes = 0;
        upstream = createServer({ pauseOnConnect: true }, socket => void receiveLate(socket));
        members = createHttpServer();
        await Promise.all(
            [members, upstream].map(server => once(server.listen(0, "127.0.0.1"), "listening")),
        );
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
            isUpstream: () => true,
            isAccepting: () => true,
        });
        await tunnels.start();
    });

    afterEach(async () => {
        await client.close();
        await tunnels.stop();
        sockets.forEach(socket => socket.destroy());
        members.close();
        upstream.close();
    });

    const createClient = (way: typeof ways[number]): UpstreamClient => {
        const member = `127.0.0.1:${(members.address() as AddressInfo).port}`;
        const proof = computeTunnelProof({ clusterKey, nodeId, target });
        return new UpstreamClient({
            address: target,
            ...(way === "direct" ? {} : {
                connect: ((_options: unknown, callback: (error: Error, socket: null) => void) =>
                    callback(new Error("cut off"), null)) as never,
                detour: {
                    openTunnel: () =>
                        openTunnel({ member, target, proof, timeoutMs }),
                    clock,
                    onChange: () => {},
                },
            }),
        });
    };

    /** Sends a call and returns how many bytes of it the upstream has read in the end. */
    const sendCall = async (way: typeof ways[number], isAbandoned: boolean): Promise<number> => {
        client = createClient(way);
        const headers = ["host", "h", "content-length", String(bodyBytes)];
        const exchange = client.send({ method: "POST", path: "/a/", headers, body: Buffer.alloc(bodyBytes) });
        await pause(abandonMs);
        if (isAbandoned) {
            exchange.abort("the caller has left");
        }
        await pause(deliveryMs);
        return receivedBytes;
    };

    // Guards against requests that an upstream gets whole, and runs, long after their callers have left.
    it.each(ways)("does not arrive whole afterwards: %s", async way => {
        expect(await sendCall(way, true)).toBeLessThan(bodyBytes);
    });

    it.each(ways)("would have arrived otherwise: %s", async way => {
        expect(await sendCall(way, false)).toBeGreaterThan(bodyBytes);
    });
});
